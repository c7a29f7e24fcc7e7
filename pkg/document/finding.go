package document

import (
	"fmt"
	"strings"
)

// Place is a position in the text of a document.
type Place struct {
	Line   int
	Column int
}

// Finding is one fault of a document with its place.
type Finding struct {
	Section string
	Place
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

// Error lists the findings, one a line.
func (e *FindingsError) Error() string {
	l := make([]string, 0, len(e.Findings)+1)
	l = append(l, fmt.Sprintf("document has %d findings", len(e.Findings)))
	for _, f := range e.Findings {
		l = append(l, "  "+f.String())
	}
	return strings.Join(l, "\n")
}

// findingsError returns nil where there are no findings.
func findingsError(f []Finding) error {
	if len(f) == 0 {
		return nil
	}
	return &FindingsError{Findings: f}
}
