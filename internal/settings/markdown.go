package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// arg is one setting as its struct tags describe it.
type arg struct {
	Flag     string
	Variable string
	Default  string
	Help     string
}

func parseArg(f reflect.StructField) arg {
	a := arg{Default: f.Tag.Get("default"), Help: f.Tag.Get("help")}
	for p := range strings.SplitSeq(f.Tag.Get("arg"), ",") {
		if v, ok := strings.CutPrefix(p, "env:"); ok {
			a.Variable = v
			continue
		}
		if strings.HasPrefix(p, "--") {
			a.Flag = p
		}
	}
	return a
}

// Markdown returns the documentation of all settings.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the structs of `internal/settings` by `make docs`; a test compares the two.\n")
	b.WriteString("A flag goes before its variable, and a variable before the default.\n")
	for _, s := range []struct {
		title string
		value any
	}{
		{"currantknot serve", Serve{}},
		{"currantknot jobs", Jobs{}},
		{"currantknot platform", Platform{}},
		{"Commands for operators", Operator{}},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| flag | variable | default | meaning |\n|---|---|---|---|\n", s.title)
		writeRows(&b, reflect.TypeOf(s.value))
	}
	return b.String()
}

func writeRows(b *strings.Builder, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			writeRows(b, f.Type)
			continue
		}
		a := parseArg(f)
		v := a.Variable
		if v != "" {
			v = "`" + v + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", a.Flag, v, a.Default, a.Help)
	}
}
