package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobserve"
)

// whereCommand asks the owner of the jobs where a job would go now, without submitting it.
type whereCommand struct {
	Instance string        `arg:"--instance,env:CURRANTKNOT_METRICS" default:"http://127.0.0.1:9464" placeholder:"URL" help:"metrics address of the instance that owns the jobs"`
	Job      string        `arg:"--job" placeholder:"ID" help:"a submitted job, instead of a file"`
	Queue    string        `arg:"--queue" placeholder:"NAME" help:"queue of the job in the file"`
	Host     string        `arg:"--host" placeholder:"NAME" help:"host to which the job would be sent, instead of --queue"`
	Path     string        `arg:"--path" placeholder:"PATH" help:"path to which the job would be sent, with --host"`
	Account  string        `arg:"--account" placeholder:"NAME" help:"client account that would submit the job"`
	Workers  int           `arg:"--workers" default:"10" placeholder:"N" help:"number of workers to show for each step"`
	Timeout  time.Duration `arg:"--timeout" default:"5s" placeholder:"TIME" help:"time for the response"`
	JSON     bool          `arg:"--json" help:"print the response as JSON"`
	File     string        `arg:"positional" placeholder:"FILE" help:"job as callers submit it, in JSON; standard input if missing or -"`
}

// whereError reports that an instance did not tell where a job would go.
type whereError struct {
	status   int
	response jobserve.WhereResponse
}

// Error returns the reason, and the owner of the jobs if the instance is not and knows it.
func (e *whereError) Error() string {
	s := fmt.Sprintf("%s: %s", e.response.Instance, e.response.Error)
	if e.response.Owner != "" {
		s += "; ask " + e.response.Owner
	}
	return s
}

func (c *whereCommand) run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := c.request(ctx)
	if err != nil {
		return err
	}
	x, err := askWhere(r)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, x)
	}
	return printTable(out, whereRows(x, c.Workers)...)
}

// request returns the request for a submitted job, or for the job in the file.
func (c *whereCommand) request(ctx context.Context) (*http.Request, error) {
	if c.Job == "" && c.Queue == "" && c.Host == "" {
		return nil, &argumentError{"one of --job, --queue and --host is required"}
	}
	u := strings.TrimSuffix(c.Instance, "/") + jobserve.WherePath + "?"
	if c.Job != "" {
		return http.NewRequestWithContext(ctx, http.MethodGet, u+url.Values{"job": {c.Job}}.Encode(), nil)
	}
	b, err := c.read()
	if err != nil {
		return nil, err
	}
	v := url.Values{"queue": {c.Queue}, "host": {c.Host}, "path": {c.Path}, "account": {c.Account}}
	return http.NewRequestWithContext(ctx, http.MethodPost, u+v.Encode(), bytes.NewReader(b))
}

// read returns the job in the file or on standard input.
func (c *whereCommand) read() ([]byte, error) {
	if c.File == "" || c.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(c.File)
}

// askWhere sends a request to an instance; it returns a *whereError if the instance does not tell.
func askWhere(r *http.Request) (*jobserve.WhereResponse, error) {
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("ask instance: %w", err)
	}
	defer a.Body.Close()
	var x jobserve.WhereResponse
	if err := json.NewDecoder(a.Body).Decode(&x); err != nil {
		return nil, fmt.Errorf("response of instance, status %d: %w", a.StatusCode, err)
	}
	if a.StatusCode != http.StatusOK {
		return nil, &whereError{a.StatusCode, x}
	}
	return &x, nil
}

// whereRows formats a response with at most the given number of workers for each step.
func whereRows(x *jobserve.WhereResponse, workers int) []string {
	rows := []string{fmt.Sprintf("answered by %s, queue %s, pool %s", x.Instance, x.Queue, x.Pool)}
	if a := x.Account; a != nil {
		rows = append(rows, fmt.Sprintf("account %s, known %t, weight %g, cap %d milli-cores, %d MB, %d accelerators (0 is no limit)", a.Name, a.Known, a.Weight, a.Cap.MilliCPU, a.Cap.MemoryMB, a.Cap.Accelerators))
	}
	if x.Answer == nil {
		return rows
	}
	if len(x.Answer.Steps) == 0 {
		rows = append(rows, fmt.Sprintf("no task waits, state %s", x.Answer.State))
	}
	for i := range x.Answer.Steps {
		rows = append(rows, stepRows(&x.Answer.Steps[i], x.At, workers)...)
	}
	if x.Answer.Truncated {
		rows = append(rows, "", "further steps are left out")
	}
	return rows
}

func stepRows(s *dispatch.StepPlacement, at time.Time, workers int) []string {
	rows := []string{"", fmt.Sprintf("step %d.%d: %d tasks, ready %t, slack %s, %d workers may take one", s.Occurrence, s.Step, s.Tasks, s.Ready, s.Slack.Round(time.Millisecond), s.Takers)}
	for _, k := range slices.Sorted(maps.Keys(s.Excluded)) {
		rows = append(rows, fmt.Sprintf("  passed over, %s: %d", k, s.Excluded[k]))
	}
	if s.GangLabel != "" || s.Gang != nil {
		rows = append(rows, fmt.Sprintf("  gang on %s, label %q", strings.Join(s.Gang, " "), s.GangLabel))
	}
	if s.Rack != nil {
		rows = append(rows, "  "+rackText(s.Rack, at))
	}
	rows = append(rows, "  WORKER\tSCORE\tIN RACK\tFREE MILLI-CORES\tFREE MB\tPASSED OVER")
	for _, w := range s.Workers[:min(max(workers, 0), len(s.Workers))] {
		rows = append(rows, fmt.Sprintf("  %s\t%.3f\t%t\t%d\t%d\t%s", w.Worker, w.Score, w.InRack, w.FreeMilliCPU, w.FreeMemoryMB, w.Reason))
	}
	return rows
}

// rackText formats what is known of a step's rack.
func rackText(r *dispatch.RackPlacement, at time.Time) string {
	s := fmt.Sprintf("rack %s: %d workers, elsewhere a task ends in %s", r.Rack, r.Workers, until(r.EndElsewhere, at))
	if !r.HasPlace {
		return s + ", no place in the rack soon"
	}
	s += fmt.Sprintf(", in the rack in %s, place in %s", until(r.EndInRack, at), until(r.PlaceAt, at))
	if r.Waits {
		s += fmt.Sprintf(", waits for at most %s", until(r.Deadline, at))
	}
	return s
}

func until(t, at time.Time) time.Duration { return t.Sub(at).Round(time.Millisecond) }
