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
	// exitFailed tells that the command was understood but failed.
	exitFailed = 1
	// exitInput tells that settings, arguments or a document have findings; nothing was applied.
	exitInput = 2
	// exitConflict tells that another edit came first.
	exitConflict = 3
	// exitUnknown tells that the outcome is not known.
	exitUnknown = 4
)

// version is the version of the program.
const version = "0.1.0"

// commands lists the commands; exactly one is set after parsing.
type commands struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run one instance of the daemon"`
	Document *documentCommand `arg:"subcommand:document" help:"read, check and edit the document"`
	Domain   *domainCommand   `arg:"subcommand:domain" help:"take failure domains out of service and bring them back"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show instances, failure domains, shards, services and jobs"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the decisions about a request, task, service, job, worker or upstream"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run the stand-in of the platform"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run stand-in and three instances under load and faults, and report"`
	Jobs     *jobsCommand     `arg:"subcommand:jobs" help:"run one instance that accepts and runs jobs, on the platform of a settings file"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description implements the help text.
func (commands) Description() string {
	return "currantknot places latency-critical services and batch work together and routes requests to them."
}

// Epilogue implements the help text.
func (commands) Epilogue() string {
	return `Examples:
  currantknot platform --document fleet.yaml
  currantknot serve --name a --failure-domain thamel --insecure
  currantknot document edit fleet.yaml --reason "first fleet" --wait
  currantknot domain drain thamel --reason "power work"
  currantknot explain reconcile-2026

Exit codes: 0 done, 1 failed, 2 findings in settings, arguments or document, 3 another edit came first, 4 outcome unknown.`
}

// command is one command after parsing.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// selected returns the command that was given.
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
	case c.Version != nil:
		return c.Version
	}
	return nil
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var c commands
	p, err := arg.NewParser(arg.Config{Program: "currantknot"}, &c)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	err = p.Parse(args)
	x := c.selected()
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, "currantknot:", err)
		return exitInput
	case x == nil:
		_ = p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		return exitInput
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := x.run(ctx, out); err != nil {
		fmt.Fprintln(errOut, "currantknot:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit code of an error's kind.
func exitCode(err error) int {
	var (
		s *settings.Error
		d *document.FindingsError
		f *operator.FailedError
		a *argumentError
		p *platform.SettingsError
	)
	switch {
	case errors.As(err, &s), errors.As(err, &d), errors.As(err, &a), errors.As(err, &p):
		return exitInput
	case errors.As(err, &f):
		return exitCodeOfStatus(f.Status)
	}
	return exitFailed
}
