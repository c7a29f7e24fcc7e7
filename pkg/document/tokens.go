package document

import "github.com/goccy/go-yaml/token"

const (
	// maxFlowLevels is the maximum number of [] and {} within each other.
	maxFlowLevels = 64
	// maxBlockColumn is the maximum column of an entry or a key outside of [] and {}, which bounds their levels.
	maxBlockColumn = 256
)

// findDeepNesting returns a finding where a text is nested too deeply for the parser, which needs memory in proportion to the square
// of the levels. It returns nil if there is no such place.
func findDeepNesting(l token.Tokens) *Finding {
	flow := 0
	for i, t := range l {
		flow = max(0, flow+flowChange(t.Type))
		if flow > maxFlowLevels || flow == 0 && blockColumn(l, i) > maxBlockColumn {
			return &Finding{Position: Position{Line: t.Position.Line, Column: t.Position.Column}, Message: "the text is nested too deeply"}
		}
	}
	return nil
}

// flowChange returns by how much a token changes the number of open [] and {}.
func flowChange(t token.Type) int {
	switch t { //nolint:exhaustive // the other tokens open and close nothing
	case token.SequenceStartType, token.MappingStartType:
		return 1
	case token.SequenceEndType, token.MappingEndType:
		return -1
	}
	return 0
}

// blockColumn returns the column of the entry or key that a token begins or ends, and 0 for any other token.
func blockColumn(l token.Tokens, i int) int {
	t := l[i]
	switch t.Type { //nolint:exhaustive // the other tokens nest nothing
	case token.SequenceEntryType, token.MappingKeyType:
		return t.Position.Column
	case token.MappingValueType:
		if i > 0 && l[i-1].Position.Line == t.Position.Line {
			return l[i-1].Position.Column
		}
	}
	return 0
}
