package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
)

type statusCommand struct {
	settings.Operator
}

func (c *statusCommand) run(ctx context.Context, out io.Writer) error {
	query := func(o *operator.Client) (operator.Status, error) { return o.Status(ctx) }
	return printQuery(out, &c.Operator, query, func(s operator.Status) error { return printStatus(out, s) })
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
	rows = append(append(rows, ""), domainRows(s.Domains)...)
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
	query := func(o *operator.Client) (operator.ExplainResponse, error) { return o.Explain(ctx, c.Subject) }
	return printQuery(out, &c.Operator, query, func(r operator.ExplainResponse) error { return printTable(out, explainRows(r)...) })
}

func explainRows(r operator.ExplainResponse) []string {
	rows := []string{"AT\tINSTANCE\tDECISION\tSUBJECTS\tREASON\tREJECTED"}
	for _, e := range r.Entries {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", e.At.UTC().Format(time.RFC3339Nano), e.Instance, e.Kind, strings.Join(e.Subjects, " "), e.Reason, e.Rejected))
	}
	if len(r.Silent) > 0 {
		rows = append(rows, "no answer from "+strings.Join(r.Silent, ", "))
	}
	return rows
}
