package document

import (
	"bytes"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Render returns the canonical text of the sections, separated by "---" lines.
func Render(sections ...*Section) []byte {
	var b bytes.Buffer
	for i, s := range sections {
		if i > 0 {
			b.WriteString("---\n")
		}
		renderStruct(&b, reflect.ValueOf(*s), "")
	}
	return b.Bytes()
}

// renderStruct writes the non-zero exported fields of a struct at the given indentation.
func renderStruct(b *bytes.Buffer, v reflect.Value, indent string) {
	first := true
	for i := range v.NumField() {
		f := v.Type().Field(i)
		e := v.Field(i)
		if !f.IsExported() || e.IsZero() || e.Kind() == reflect.Slice && e.Len() == 0 {
			continue
		}
		if f.Anonymous {
			renderStruct(b, e, indent)
			continue
		}
		p := indent
		if first {
			p = strings.TrimSuffix(indent, "  ") + cutListMarker(indent, b)
		}
		first = false
		renderField(b, f.Name, e, p, indent)
	}
}

// cutListMarker removes the prefix of a list element from the end of the buffer,
// and returns the last two characters of the prefix of a struct's first field.
//
// For a list element these are "- ". renderSlice has already written the whole
// prefix of the element to the buffer, and the caller writes it again. For other
// structs they are two spaces, or nothing without an indent, and the buffer stays
// as it is.
func cutListMarker(indent string, b *bytes.Buffer) string {
	if indent == "" {
		return ""
	}
	if bytes.HasSuffix(b.Bytes(), []byte("- ")) {
		b.Truncate(b.Len() - len(indent))
		return "- "
	}
	return "  "
}

func renderField(b *bytes.Buffer, name string, v reflect.Value, prefix, indent string) {
	fmt.Fprintf(b, "%s%s:", prefix, name)
	switch v.Kind() {
	case reflect.Pointer:
		if v.Elem().IsZero() {
			b.WriteString(" {}\n")
			return
		}
		b.WriteString("\n")
		renderStruct(b, v.Elem(), indent+"  ")
	case reflect.Slice:
		b.WriteString("\n")
		renderSlice(b, v, indent)
	default:
		b.WriteString(" " + renderScalar(v) + "\n")
	}
}

func renderSlice(b *bytes.Buffer, v reflect.Value, indent string) {
	for i := range v.Len() {
		e := v.Index(i)
		if e.Kind() != reflect.Struct {
			fmt.Fprintf(b, "%s  - %s\n", indent, renderScalar(e))
			continue
		}
		if e.IsZero() {
			fmt.Fprintf(b, "%s  - {}\n", indent)
			continue
		}
		b.WriteString(indent + "  - ")
		renderStruct(b, e, indent+"    ")
	}
}

func renderScalar(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Int64:
		return time.Duration(v.Int()).String()
	case reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	default:
		return quoteIfNeeded(v.String())
	}
}

// quoteIfNeeded returns s unchanged if every YAML parser reads it as the same string, else in quotes.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ToLower(s) != s && isReservedWord(strings.ToLower(s)) {
		return strconv.Quote(s)
	}
	for _, r := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_/.", r) {
			return strconv.Quote(s)
		}
	}
	if isReservedWord(s) || !strings.ContainsAny(s[:1], "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ/") {
		return strconv.Quote(s)
	}
	return s
}

// isReservedWord reports whether a YAML parser may read the unquoted lower-case word as a boolean or null.
func isReservedWord(s string) bool {
	switch s {
	case "true", "false", "null", "yes", "no", "on", "off", "y", "n":
		return true
	}
	return false
}
