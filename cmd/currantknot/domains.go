package main

import (
	"context"
	"fmt"
	"io"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
)

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
	query := func(o *operator.Client) ([]operator.DomainStatus, error) {
		s, err := o.Status(ctx)
		return s.Domains, err
	}
	return printQuery(out, &c.Operator, query, func(l []operator.DomainStatus) error { return printTable(out, domainRows(l)...) })
}

func domainRows(l []operator.DomainStatus) []string {
	rows := []string{"FAILURE DOMAIN\tREGION\tINSTANCES\tSTATE\tREASON"}
	for _, d := range l {
		state := "in service"
		if d.OutOfService {
			state = "out of service"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s\t%s", d.Name, d.Region, d.Instances, state, d.Reason))
	}
	return rows
}
