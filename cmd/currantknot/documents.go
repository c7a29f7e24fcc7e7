package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"currantknot.dev/currantknot/internal/docstore"
	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/pkg/document"
)

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
	query := func(o *operator.Client) (operator.DocumentResponse, error) { return o.Document(ctx) }
	return printQuery(out, &c.Operator, query, func(d operator.DocumentResponse) error {
		c.printSections(out, d)
		return nil
	})
}

// printSections prints the section that the operator asked for, or all of them.
func (c *documentGet) printSections(out io.Writer, d operator.DocumentResponse) {
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
	query := func(o *operator.Client) ([]docstore.Change, error) { return o.Log(ctx) }
	return printQuery(out, &c.Operator, query, func(l []docstore.Change) error { return printTable(out, logRows(l)...) })
}

func logRows(l []docstore.Change) []string {
	rows := []string{"REVISION\tAT\tSECTION\tAUTHOR\tREASON"}
	for _, e := range l {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", e.Offset+1, e.At.UTC().Format(time.RFC3339), e.Section, e.Author, e.Reason))
	}
	return rows
}
