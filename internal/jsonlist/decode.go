package jsonlist

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Error reports a text that is no list, or a list that is refused.
type Error struct {
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// Decode decodes a text in JSON that is a list of up to limit elements, or null. It returns an *Error at the element beyond the limit,
// at one that is null, and for a text that is no list. If strict is true, an unknown field of an element is an error.
func Decode[T any](text []byte, limit int, strict bool) ([]T, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	if strict {
		d.DisallowUnknownFields()
	}
	t, err := d.Token()
	if err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	switch t {
	case nil:
		return nil, nil
	case json.Delim('['):
	default:
		return nil, &Error{"is no list"}
	}
	var l []T
	for d.More() {
		if len(l) == limit {
			return nil, &Error{fmt.Sprintf("has more than %d elements", limit)}
		}
		var x *T
		if err := d.Decode(&x); err != nil {
			return nil, fmt.Errorf("element %d: %w", len(l), err)
		}
		if x == nil {
			return nil, &Error{fmt.Sprintf("element %d is null", len(l))}
		}
		l = append(l, *x)
	}
	return l, nil
}
