package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/pkg/document"
)

// statusPollInterval is the pause between two status requests while a command waits for an edit to be in force on all
// instances.
const statusPollInterval = 100 * time.Millisecond

// argumentError reports an invalid argument or combination of arguments.
type argumentError struct {
	reason string
}

func (e *argumentError) Error() string { return e.reason }

// exitCodeOfStatus maps the HTTP status of a failed operator request to an exit code.
func exitCodeOfStatus(s int) int {
	switch s {
	case http.StatusBadRequest, http.StatusNotFound:
		return exitInput
	case http.StatusConflict:
		return exitConflict
	case http.StatusGatewayTimeout:
		return exitUnknown
	default:
		return exitFailed
	}
}

// newClient returns a client for the operator API of the instance in s.Instance.
func newClient(s *settings.Operator) (*operator.Client, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &operator.Client{BaseURL: strings.TrimSuffix(s.Instance, "/"), Token: s.Token, Timeout: s.Timeout}, nil
}

// currentUser returns the name of the user who runs the command, "unknown" if it can't be determined.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows of tab-separated cells in aligned columns.
func printTable(out io.Writer, rows ...string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, r); err != nil {
			return err
		}
	}
	return w.Flush()
}

type documentCommand struct {
	Get   *documentGet   `arg:"subcommand:get" help:"print the document"`
	Diff  *documentDiff  `arg:"subcommand:diff" help:"compare a file with the document"`
	Edit  *documentEdit  `arg:"subcommand:edit" help:"replace sections by those of a file"`
	Check *documentCheck `arg:"subcommand:check" help:"print the findings that an edit would have"`
	Log   *documentLog   `arg:"subcommand:log" help:"print the latest changes"`
}

func (c *documentCommand) selected() command {
	switch {
	case c.Get != nil:
		return c.Get
	case c.Diff != nil:
		return c.Diff
	case c.Edit != nil:
		return c.Edit
	case c.Check != nil:
		return c.Check
	case c.Log != nil:
		return c.Log
	}
	return nil
}

type documentGet struct {
	settings.Operator
	Section string `arg:"--section" help:"only this section"`
}

func (c *documentGet) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	d, err := o.Document(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, d)
	}
	n := 0
	for _, s := range d.Sections {
		if c.Section != "" && s.Section != c.Section {
			continue
		}
		if n > 0 {
			fmt.Fprintln(out, "---")
		}
		n++
		fmt.Fprintf(out, "# revision %d\n%s", s.Revision, s.Text)
	}
	return nil
}

// editArguments are the arguments that the commands "document diff", "document edit" and "document check" share.
type editArguments struct {
	File   string `arg:"positional,required" help:"YAML file with sections, - for standard input"`
	Base   uint64 `arg:"--base" help:"revision that the edit is based on, for a file with one section; the current one by default"`
	Author string `arg:"--author" help:"who edits; the system's user by default"`
	Reason string `arg:"--reason" help:"why"`
}

// buildRequest reads the file and the current document. It returns an edit request with the sections of the file, and the
// document.
func (e *editArguments) buildRequest(ctx context.Context, o *operator.Client) (operator.EditRequest, operator.DocumentResponse, error) {
	q := operator.EditRequest{Author: e.Author, Reason: e.Reason}
	if q.Author == "" {
		q.Author = currentUser()
	}
	ss, err := readSections(e.File)
	if err != nil {
		return q, operator.DocumentResponse{}, err
	}
	if e.Base != 0 && len(ss) != 1 {
		return q, operator.DocumentResponse{}, &argumentError{"--base needs a file with exactly one section"}
	}
	d, err := o.Document(ctx)
	if err != nil {
		return q, d, err
	}
	r := make(map[string]uint64)
	for _, s := range d.Sections {
		r[s.Section] = s.Revision
	}
	for _, s := range ss {
		b := r[s.Section]
		if e.Base != 0 {
			b = e.Base
		}
		q.Sections = append(q.Sections, operator.SectionEdit{Section: s.Section, Base: b, Text: string(document.Render(s))})
	}
	return q, d, nil
}

func readSections(file string) ([]*document.Section, error) {
	b, err := readFile(file)
	if err != nil {
		return nil, err
	}
	ss, err := document.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return ss, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return b, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return b, nil
}

type documentDiff struct {
	settings.Operator
	editArguments
}

func (c *documentDiff) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	q, d, err := c.buildRequest(ctx, o)
	if err != nil {
		return err
	}
	old := make(map[string]operator.SectionText)
	for _, s := range d.Sections {
		old[s.Section] = s
	}
	var b bytes.Buffer
	for _, s := range q.Sections {
		err := difflib.WriteUnifiedDiff(&b, difflib.UnifiedDiff{
			A: difflib.SplitLines(old[s.Section].Text), B: difflib.SplitLines(s.Text),
			FromFile: fmt.Sprintf("%s (revision %d)", s.Section, old[s.Section].Revision), ToFile: s.Section + " (" + c.File + ")", Context: 3,
		})
		if err != nil {
			return fmt.Errorf("compare section %s: %w", s.Section, err)
		}
	}
	_, err = b.WriteTo(out)
	return err
}

type documentEdit struct {
	settings.Operator
	editArguments
	Wait bool `arg:"--wait" help:"wait until the edit is in force on all instances"`
}

func (c *documentEdit) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	q, _, err := c.buildRequest(ctx, o)
	if err != nil {
		return err
	}
	r, err := o.Edit(ctx, q)
	if err != nil {
		return err
	}
	return reportEdit(ctx, out, o, r, c.Wait, c.JSON)
}

// reportEdit prints the number of instances on which an edit is in force.
//
// If wait is set, it first polls the status until the edit is in force on all instances or the client's timeout has passed.
func reportEdit(ctx context.Context, out io.Writer, o *operator.Client, r operator.EditResponse, wait, asJSON bool) error {
	deadline := time.Now().Add(o.Timeout)
	for wait && len(r.InForce) < r.Instances && time.Now().Before(deadline) {
		time.Sleep(statusPollInterval)
		s, err := o.Status(ctx)
		if err != nil {
			return err
		}
		r.InForce, r.Instances = nil, len(s.Instances)
		for _, i := range s.Instances {
			if i.DocumentNext >= r.Revision {
				r.InForce = append(r.InForce, i.Name)
			}
		}
	}
	if asJSON {
		return printJSON(out, r)
	}
	_, err := fmt.Fprintf(out, "accepted as revision %d, in force on %d of %d instances\n", r.Revision, len(r.InForce), r.Instances)
	return err
}

type documentCheck struct {
	settings.Operator
	editArguments
}

func (c *documentCheck) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	q, _, err := c.buildRequest(ctx, o)
	if err != nil {
		return err
	}
	if err := o.Check(ctx, q); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "no findings")
	return err
}

type documentLog struct {
	settings.Operator
}

func (c *documentLog) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	h, err := o.Log(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, h)
	}
	rows := []string{"REVISION\tAT\tSECTION\tAUTHOR\tREASON"}
	for _, e := range h {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", e.Offset+1, e.At.UTC().Format(time.RFC3339), e.Section, e.Author, e.Reason))
	}
	return printTable(out, rows...)
}

type domainCommand struct {
	Drain   *domainDrain   `arg:"subcommand:drain" help:"take a failure domain out of service"`
	Restore *domainRestore `arg:"subcommand:restore" help:"bring a failure domain back into service"`
	List    *domainList    `arg:"subcommand:list" help:"list the failure domains"`
}

func (c *domainCommand) selected() command {
	switch {
	case c.Drain != nil:
		return c.Drain
	case c.Restore != nil:
		return c.Restore
	case c.List != nil:
		return c.List
	}
	return nil
}

// domainArguments are the arguments that the commands "domain drain" and "domain restore" share.
type domainArguments struct {
	settings.Operator
	Name   string `arg:"positional,required" help:"failure domain"`
	Author string `arg:"--author" help:"who acts; the system's user by default"`
	Reason string `arg:"--reason" help:"why"`
	Wait   bool   `arg:"--wait" help:"wait until the change is in force on all instances"`
}

func (c *domainArguments) setOutOfService(ctx context.Context, out io.Writer, outOfService bool) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	q := operator.DomainRequest{Name: c.Name, OutOfService: outOfService, Author: c.Author, Reason: c.Reason}
	if q.Author == "" {
		q.Author = currentUser()
	}
	r, err := o.SetDomain(ctx, q)
	if err != nil {
		return err
	}
	return reportEdit(ctx, out, o, r, c.Wait, c.JSON)
}

type domainDrain struct {
	domainArguments
}

func (c *domainDrain) run(ctx context.Context, out io.Writer) error {
	return c.setOutOfService(ctx, out, true)
}

type domainRestore struct {
	domainArguments
}

func (c *domainRestore) run(ctx context.Context, out io.Writer) error {
	return c.setOutOfService(ctx, out, false)
}

type domainList struct {
	settings.Operator
}

func (c *domainList) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	s, err := o.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, s.Domains)
	}
	return printTable(out, domainRows(s)...)
}

func domainRows(s operator.Status) []string {
	rows := []string{"FAILURE DOMAIN\tREGION\tINSTANCES\tSTATE\tREASON"}
	for _, d := range s.Domains {
		state := "in service"
		if d.OutOfService {
			state = "out of service"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s\t%s", d.Name, d.Region, d.Instances, state, d.Reason))
	}
	return rows
}

type statusCommand struct {
	settings.Operator
}

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	s, err := o.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, s)
	}
	return printStatus(out, s)
}

func printStatus(out io.Writer, s operator.Status) error {
	fmt.Fprintf(out, "answered by %s, document at offset %d, confirmed %s ago", s.Instance, s.DocumentNext, s.ConfirmedAgo)
	if s.Blocked != "" {
		fmt.Fprintf(out, ", BLOCKED: %s", s.Blocked)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out)
	rows := []string{"INSTANCE\tFAILURE DOMAIN\tDOCUMENT\tSEEN\tLEAVING\tSHARDS"}
	for _, i := range s.Instances {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s ago\t%v\t%v", i.Name, i.Domain, i.DocumentNext, i.SeenAgo, i.Leaving, i.Shards))
	}
	rows = append(append(rows, ""), domainRows(s)...)
	rows = append(rows, "", "SERVICE OR JOB\tCLASS\tRUNNING\tWAITING\tFINISHED\tGIVEN UP\tREASON")
	for _, g := range s.Groups {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%s", g.Group, g.Class, g.Running, g.Waiting, g.Finished, g.GivenUp, g.Reason))
	}
	rows = append(rows, "", "SHARD\tOWNER\tEPOCH\tWORKERS\tRUNNING\tWAITING")
	for _, shard := range s.Shards {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%d\t%d\t%d", shard.Number, shard.Owner, shard.Epoch, shard.Workers, shard.Running, shard.Waiting))
	}
	if len(s.Silent) > 0 {
		rows = append(rows, "", "no answer from "+strings.Join(s.Silent, ", "))
	}
	if len(s.Quarantined) > 0 {
		rows = append(rows, "", "quarantined workers: "+strings.Join(s.Quarantined, ", "))
	}
	return printTable(out, rows...)
}

type explainCommand struct {
	settings.Operator
	Subject string `arg:"positional,required" help:"request, task, service or job with generation, worker, failure domain, upstream, section or shard stream"`
}

func (c *explainCommand) run(ctx context.Context, out io.Writer) error {
	o, err := newClient(&c.Operator)
	if err != nil {
		return err
	}
	r, err := o.Explain(ctx, c.Subject)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, r)
	}
	rows := []string{"AT\tINSTANCE\tDECISION\tSUBJECTS\tREASON\tREJECTED"}
	for _, e := range r.Entries {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", e.At.UTC().Format(time.RFC3339Nano), e.Instance, e.Kind, strings.Join(e.Subjects, " "), e.Reason, e.Rejected))
	}
	if len(r.Silent) > 0 {
		rows = append(rows, "no answer from "+strings.Join(r.Silent, ", "))
	}
	return printTable(out, rows...)
}

type versionCommand struct{}

func (c *versionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, "currantknot", version)
	return err
}
