package document

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes bounds the text of one edit.
const MaxTextBytes = 4 << 20

// maxCount bounds every whole number in a document, so that sums cannot overflow.
const maxCount = 1 << 30

// Parse reads sections from a YAML stream, or returns a *FindingsError.
func Parse(text []byte) ([]*Section, error) {
	if len(text) > MaxTextBytes {
		return nil, findingsError([]Finding{{Message: fmt.Sprintf("text has %d bytes, at most %d are allowed", len(text), MaxTextBytes)}})
	}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, findingsError([]Finding{syntaxFinding(err)})
	}
	var a []*Section
	var w []Finding
	for _, d := range f.Docs {
		if d.Body == nil {
			continue
		}
		s, g := parseSection(d.Body)
		a = append(a, s)
		w = append(w, g...)
	}
	if len(a) == 0 && len(w) == 0 {
		w = append(w, Finding{Message: "text holds no section"})
	}
	return a, findingsError(w)
}

func syntaxFinding(err error) Finding {
	f := Finding{Message: "syntax error"}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Message = y.GetMessage()
		if t := y.GetToken(); t != nil {
			f.Place = Place{Line: t.Position.Line, Column: t.Position.Column}
		}
	}
	return f
}

func parseSection(n ast.Node) (*Section, []Finding) {
	d := &decoder{places: make(map[string]Place)}
	s := &Section{}
	d.decode(n, reflect.ValueOf(s).Elem(), "")
	s.places = d.places
	if s.Section == "" {
		d.add(n, "Section", "a section needs a name")
	}
	for i := range d.findings {
		d.findings[i].Section = s.Section
	}
	return s, d.findings
}

// place returns the nearest known place at or above the field.
func (s *Section) place(field string) Place {
	for field != "" {
		if p, ok := s.places[field]; ok {
			return p
		}
		field = parentField(field)
	}
	return s.places[""]
}

func parentField(field string) string {
	for i := len(field) - 1; i > 0; i-- {
		if field[i] == '.' || field[i] == '[' {
			return field[:i]
		}
	}
	return ""
}

// decoder fills a value from a syntax tree and goes on after each finding.
type decoder struct {
	places   map[string]Place
	findings []Finding
}

func (d *decoder) add(n ast.Node, field, format string, args ...any) {
	d.findings = append(d.findings, Finding{Place: placeOf(n), Field: field, Message: fmt.Sprintf(format, args...)})
}

func placeOf(n ast.Node) Place {
	// A mapping's own token is its first colon, so the first key stands for it.
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return Place{}
	}
	return Place{Line: t.Position.Line, Column: t.Position.Column}
}

func (d *decoder) decode(n ast.Node, v reflect.Value, field string) {
	d.places[field] = placeOf(n)
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, field)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(n, v.Elem(), field)
	case reflect.Slice:
		d.decodeSlice(n, v, field)
	case reflect.String:
		d.decodeString(n, v, field)
	case reflect.Bool:
		d.decodeBool(n, v, field)
	case reflect.Int64:
		d.decodeDuration(n, v, field)
	case reflect.Int:
		d.decodeInt(n, v, field)
	default:
		d.add(n, field, "cannot hold a value")
	}
}

func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, field string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.add(n, field, "expected a mapping, found %s", n.Type())
		return
	}
	for i := m.MapRange(); i.Next(); {
		k := i.Key().String()
		p := k
		if field != "" {
			p = field + "." + k
		}
		e := v.FieldByName(k)
		if !e.IsValid() || !e.CanSet() || e.Kind() == reflect.Struct {
			d.add(i.Key(), p, "unknown field")
			continue
		}
		d.decode(i.Value(), e, p)
	}
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, field string) {
	q, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(n, field, "expected a list, found %s", n.Type())
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(q.Values), len(q.Values)))
	for i, e := range q.Values {
		d.decode(e, v.Index(i), field+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) decodeString(n ast.Node, v reflect.Value, field string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.add(n, field, "expected text, found %s", n.Type())
		return
	}
	v.SetString(s.Value)
}

func (d *decoder) decodeBool(n ast.Node, v reflect.Value, field string) {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		d.add(n, field, "expected true or false, found %s", n.Type())
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) decodeDuration(n ast.Node, v reflect.Value, field string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.add(n, field, "expected a duration such as 250ms, found %s", n.Type())
		return
	}
	t, err := time.ParseDuration(s.Value)
	if err != nil {
		d.add(n, field, "%q is no duration such as 250ms", s.Value)
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) decodeInt(n ast.Node, v reflect.Value, field string) {
	t, ok := n.(*ast.IntegerNode)
	if !ok {
		d.add(n, field, "expected a whole number, found %s", n.Type())
		return
	}
	i, err := strconv.Atoi(t.Token.Value)
	if err != nil || i < 0 || i > maxCount {
		d.add(n, field, "%s is not between 0 and %d", t.Token.Value, maxCount)
		return
	}
	v.SetInt(int64(i))
}
