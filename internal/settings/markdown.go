package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// setting is the flag, environment variable, default and help text of one setting.
type setting struct {
	Flag     string
	Variable string
	Default  string
	Help     string
}

// parseTags returns the setting that the tags of a field declare.
func parseTags(f reflect.StructField) setting {
	s := setting{Default: f.Tag.Get("default"), Help: f.Tag.Get("help")}
	for p := range strings.SplitSeq(f.Tag.Get("arg"), ",") {
		if v, ok := strings.CutPrefix(p, "env:"); ok {
			s.Variable = v
			continue
		}
		if strings.HasPrefix(p, "--") {
			s.Flag = p
		}
	}
	return s
}

// Markdown returns the documentation of all settings as Markdown text.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the structs of `internal/settings` by `make docs`; a test fails if this file is out of date.\n")
	b.WriteString("A flag takes precedence over its environment variable, and a variable over the default.\n")
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

// writeRows writes one table row per setting of the struct type, including the settings of embedded structs.
func writeRows(b *strings.Builder, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			writeRows(b, f.Type)
			continue
		}
		s := parseTags(f)
		v := s.Variable
		if v != "" {
			v = "`" + v + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", s.Flag, v, s.Default, s.Help)
	}
}
