package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/internal/settings"
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

// printQuery makes a query, and prints the result as JSON if the operator asked for that, and by printText otherwise.
func printQuery[T any](out io.Writer, s *settings.Operator, query func(*operator.Client) (T, error), printText func(T) error) error {
	o, err := newClient(s)
	if err != nil {
		return err
	}
	x, err := query(o)
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(out, x)
	}
	return printText(x)
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

type versionCommand struct{}

func (c *versionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, "currantknot", version)
	return err
}
