// Command currantknot places latency-critical services and batch work together and routes requests to them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/pkg/document"
	"currantknot.dev/currantknot/platform"
)

// The exit codes of all commands.
const (
	exitOK = 0
	// exitFailed means a failure that no other code covers, such as an unreachable instance or a missing file.
	exitFailed = 1
	// exitInput means that settings, arguments or a document are invalid, or that an object named in the arguments does
	// not exist; nothing was applied.
	exitInput = 2
	// exitConflict means that another edit was committed first.
	exitConflict = 3
	// exitUnknown means that the change may or may not have been applied.
	exitUnknown = 4
)

const version = "0.1.0"

// commands holds the arguments of each subcommand; parsing sets only the field of the subcommand that was given.
type commands struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run one instance of the daemon"`
	Document *documentCommand `arg:"subcommand:document" help:"read, check and edit the document"`
	Domain   *domainCommand   `arg:"subcommand:domain" help:"take failure domains out of service and bring them back"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show instances, failure domains, shards, services and jobs"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the decisions about a request, task, service, job, worker or upstream"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run the stand-in platform"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run the stand-in platform and three instances under load and faults, and print a report"`
	Jobs     *jobsCommand     `arg:"subcommand:jobs" help:"run one instance that accepts and runs jobs, on the platform of a settings file"`
	Where    *whereCommand    `arg:"subcommand:where" help:"tell where a job would go now and why, without submitting it"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description returns the first lines of the help text.
func (commands) Description() string {
	return "currantknot places latency-critical services and batch work together and routes requests to them."
}

// Epilogue returns the last lines of the help text.
func (commands) Epilogue() string {
	return `Examples:
  currantknot platform --document fleet.yaml
  currantknot serve --name a --failure-domain thamel --insecure
  currantknot document edit fleet.yaml --reason "first fleet" --wait
  currantknot domain drain thamel --reason "power work"
  currantknot explain reconcile-2026

Exit codes: 0 done, 1 failed, 2 findings in settings, arguments or document, 3 another edit came first, 4 outcome unknown.`
}

// command is a parsed subcommand.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// selected returns the subcommand that was given, nil if none was given.
func (c *commands) selected() command {
	switch {
	case c.Serve != nil:
		return c.Serve
	case c.Document != nil:
		return c.Document.selected()
	case c.Domain != nil:
		return c.Domain.selected()
	case c.Status != nil:
		return c.Status
	case c.Explain != nil:
		return c.Explain
	case c.Platform != nil:
		return c.Platform
	case c.Demo != nil:
		return c.Demo
	case c.Jobs != nil:
		return c.Jobs
	case c.Where != nil:
		return c.Where
	case c.Version != nil:
		return c.Version
	}
	return nil
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the subcommand and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var c commands
	p, err := arg.NewParser(arg.Config{Program: "currantknot"}, &c)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	err = p.Parse(args)
	cmd := c.selected()
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "currantknot:", err)
		return exitInput
	case cmd == nil:
		_ = p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		return exitInput
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := cmd.run(ctx, out); err != nil {
		fmt.Fprintln(errOut, "currantknot:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode maps an error to an exit code by the type of the error, and a *operator.ResponseError or *whereError by its HTTP
// status.
func exitCode(err error) int {
	var (
		s *settings.Error
		d *document.FindingsError
		f *operator.ResponseError
		a *argumentError
		p *platform.SettingsError
		w *whereError
	)
	switch {
	case errors.As(err, &s), errors.As(err, &d), errors.As(err, &a), errors.As(err, &p):
		return exitInput
	case errors.As(err, &f):
		return exitCodeOfStatus(f.Status)
	case errors.As(err, &w):
		return exitCodeOfStatus(w.status)
	}
	return exitFailed
}
