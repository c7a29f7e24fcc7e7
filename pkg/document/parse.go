package document

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes is the maximum length of a text that Parse accepts. Each section of an edit is a text by itself.
const MaxTextBytes = 4 << 20

// maxCount is the maximum value of an integer in a document, so that sums cannot overflow.
const maxCount = 1 << 30

// Parse reads the sections of a YAML stream. If the text is invalid, it returns a *FindingsError with all findings, and
// the sections are incomplete.
func Parse(text []byte) ([]*Section, error) {
	if len(text) > MaxTextBytes {
		return nil, findingsError([]Finding{{Message: fmt.Sprintf("text has %d bytes, at most %d are allowed", len(text), MaxTextBytes)}})
	}
	l := lexer.Tokenize(string(text))
	if f := findDeepNesting(l); f != nil {
		return nil, findingsError([]Finding{*f})
	}
	f, err := parser.Parse(l, 0)
	if err != nil {
		return nil, findingsError([]Finding{syntaxFinding(err)})
	}
	var ss []*Section
	var findings []Finding
	for _, d := range f.Docs {
		if d.Body == nil {
			continue
		}
		s, fs := parseSection(d.Body)
		ss = append(ss, s)
		findings = append(findings, fs...)
	}
	if len(ss) == 0 && len(findings) == 0 {
		findings = append(findings, Finding{Message: "the text contains no section"})
	}
	return ss, findingsError(findings)
}

// syntaxFinding returns the finding for an error of the YAML parser.
func syntaxFinding(err error) Finding {
	f := Finding{Message: "syntax error"}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Message = y.GetMessage()
		if t := y.GetToken(); t != nil {
			f.Position = Position{Line: t.Position.Line, Column: t.Position.Column}
		}
	}
	return f
}

// parseSection decodes one section from its syntax tree.
func parseSection(n ast.Node) (*Section, []Finding) {
	d := &decoder{positions: make(map[string]Position)}
	s := &Section{}
	d.decode(n, reflect.ValueOf(s).Elem(), "")
	s.positions = d.positions
	if s.Section == "" {
		d.addFinding(n, "Section", "a section needs a name")
	}
	for i := range d.findings {
		d.findings[i].Section = s.Section
	}
	return s, d.findings
}

// position returns the position of the field, or of its nearest enclosing field with a known position.
func (s *Section) position(field string) Position {
	for field != "" {
		if p, ok := s.positions[field]; ok {
			return p
		}
		field = parentField(field)
	}
	return s.positions[""]
}

// parentField returns the path of the enclosing field, such as Jobs[0] for Jobs[0].Name and Jobs for Jobs[0].
func parentField(field string) string {
	for i := len(field) - 1; i > 0; i-- {
		if field[i] == '.' || field[i] == '[' {
			return field[:i]
		}
	}
	return ""
}

// decoder decodes a syntax tree into a struct and continues after each finding.
type decoder struct {
	// positions holds the position of each decoded node, by the path of its field.
	positions map[string]Position
	findings  []Finding
}

// addFinding adds a finding at the position of the node.
func (d *decoder) addFinding(n ast.Node, field, format string, args ...any) {
	d.findings = append(d.findings, Finding{Position: positionOf(n), Field: field, Message: fmt.Sprintf(format, args...)})
}

// positionOf returns the position of a syntax node.
func positionOf(n ast.Node) Position {
	// The token of a mapping is its first colon; the position of its first key is more useful.
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return Position{}
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

// decode decodes the node into v; field is the path of v in the section.
func (d *decoder) decode(n ast.Node, v reflect.Value, field string) {
	d.positions[field] = positionOf(n)
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
		d.addFinding(n, field, "cannot hold a value")
	}
}

func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, field string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.addFinding(n, field, "expected a mapping, found %s", n.Type())
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
			d.addFinding(i.Key(), p, "unknown field")
			continue
		}
		d.decode(i.Value(), e, p)
	}
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, field string) {
	q, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFinding(n, field, "expected a list, found %s", n.Type())
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
		d.addFinding(n, field, "expected text, found %s", n.Type())
		return
	}
	v.SetString(s.Value)
}

func (d *decoder) decodeBool(n ast.Node, v reflect.Value, field string) {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		d.addFinding(n, field, "expected true or false, found %s", n.Type())
		return
	}
	v.SetBool(b.Value)
}

func (d *decoder) decodeDuration(n ast.Node, v reflect.Value, field string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.addFinding(n, field, "expected a duration such as 250ms, found %s", n.Type())
		return
	}
	t, err := time.ParseDuration(s.Value)
	if err != nil {
		d.addFinding(n, field, "%q is not a duration such as 250ms", s.Value)
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) decodeInt(n ast.Node, v reflect.Value, field string) {
	t, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addFinding(n, field, "expected a whole number, found %s", n.Type())
		return
	}
	i, err := strconv.Atoi(t.Token.Value)
	if err != nil || i < 0 || i > maxCount {
		d.addFinding(n, field, "%s is not between 0 and %d", t.Token.Value, maxCount)
		return
	}
	v.SetInt(int64(i))
}
