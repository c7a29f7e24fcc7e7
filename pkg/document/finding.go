package document

import (
	"fmt"
	"strings"
)

// Position is a position in the text of a document. Line and Column count from 1; Line is 0 if the position is unknown.
type Position struct {
	Line   int
	Column int
}

// Finding is one error in a document with its position.
type Finding struct {
	Section string
	Position
	Field   string
	Message string
}

// String formats the finding as section:line:column: field: message.
func (f Finding) String() string {
	s := f.Section
	if s == "" {
		s = "document"
	}
	if f.Line > 0 {
		s = fmt.Sprintf("%s:%d:%d", s, f.Line, f.Column)
	}
	if f.Field != "" {
		s += ": " + f.Field
	}
	return s + ": " + f.Message
}

// FindingsError reports all findings of a document together.
type FindingsError struct {
	Findings []Finding
}

// Error lists the findings, one per line.
func (e *FindingsError) Error() string {
	l := make([]string, 0, len(e.Findings)+1)
	l = append(l, fmt.Sprintf("document has %d findings", len(e.Findings)))
	for _, f := range e.Findings {
		l = append(l, "  "+f.String())
	}
	return strings.Join(l, "\n")
}

// findingsError returns a *FindingsError, or nil if there are no findings.
func findingsError(f []Finding) error {
	if len(f) == 0 {
		return nil
	}
	return &FindingsError{Findings: f}
}
