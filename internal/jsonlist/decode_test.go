package jsonlist_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/jsonlist"
)

type element struct {
	A int
}

func TestDecode(t *testing.T) {
	for text, c := range map[string]struct {
		want   []element
		reason string
	}{
		`null`:                  {nil, ""},
		`[]`:                    {nil, ""},
		`[{"A":1},{}]`:          {[]element{{1}, {}}, ""},
		`[{"A":1},{},{"A":3}]`:  {[]element{{1}, {}, {3}}, ""},
		`[{},{},{},{}]`:         {nil, "has more than 3 elements"},
		`[{},null]`:             {nil, "element 1 is null"},
		`{}`:                    {nil, "is no list"},
		`"a"`:                   {nil, "is no list"},
		`[{"A":"x"}]`:           {nil, "element 0: json: cannot unmarshal string into Go struct field element.A of type int"},
		`[{"B":1}]`:             {nil, `element 0: json: unknown field "B"`},
		``:                      {nil, "decode list: EOF"},
		strings.Repeat("[", 20): {nil, "element 0: unexpected EOF"},
	} {
		l, err := jsonlist.Decode[element]([]byte(text), 3, true)
		if c.reason != "" {
			require.EqualError(t, err, c.reason, text)
			continue
		}
		require.NoError(t, err, text)
		require.Equal(t, c.want, l, text)
	}
	l, err := jsonlist.Decode[element]([]byte(`[{"B":1}]`), 3, false)
	require.NoError(t, err)
	require.Len(t, l, 1)
}
