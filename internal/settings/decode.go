package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

var durationType = reflect.TypeOf(time.Duration(0))

// Decode sets the fields that the YAML document names of the struct that s points
// to. It returns Problems: a syntax error, or every unknown key and ill-typed
// value.
func Decode(data []byte, s any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = Problems{{Path: "file", Text: fmt.Sprintf("cannot be parsed: %v", r)}}
		}
	}()
	if len(data) > maxFileBytes {
		return Problems{{Path: "file", Text: fmt.Sprintf("is larger than %d bytes", maxFileBytes)}}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Problems{{Path: "file", Line: errorLine(err), Text: firstLine(err)}}
	}
	var d decoder
	for _, doc := range file.Docs {
		if doc.Body != nil {
			d.value("", doc.Body, reflect.ValueOf(s).Elem())
		}
	}
	return d.problems.err()
}

// decoder walks a YAML document and a Go value side by side, so that one pass
// finds all faults.
type decoder struct{ problems Problems }

func (d *decoder) fault(path string, n ast.Node, text string) {
	p := Problem{Path: path, Text: text}
	if path == "" {
		p.Path = "file"
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
	}
	d.problems = append(d.problems, p)
}

func (d *decoder) value(path string, n ast.Node, dst reflect.Value) {
	switch {
	case dst.Kind() == reflect.Struct:
		d.mapping(path, n, dst)
	case dst.Kind() == reflect.Slice:
		d.sequence(path, n, dst)
	default:
		d.scalar(path, n, dst)
	}
}

func (d *decoder) mapping(path string, n ast.Node, dst reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.fault(path, n, "must be a mapping of keys to values")
		return
	}
	for _, entry := range m.Values {
		key := entry.Key.String()
		full := join(path, key)
		field, ok := fieldOf(dst, key)
		if !ok {
			d.fault(full, entry.Key, "unknown key")
			continue
		}
		if _, isNull := entry.Value.(*ast.NullNode); isNull {
			d.fault(full, entry.Key, "has no value")
			continue
		}
		d.value(full, entry.Value, field)
	}
}

func (d *decoder) sequence(path string, n ast.Node, dst reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(path, n, "must be a list")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(s.Values), len(s.Values))
	for i, v := range s.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), v, list.Index(i))
	}
	dst.Set(list)
}

func (d *decoder) scalar(path string, n ast.Node, dst reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.fault(path, n, "must be a single value")
		return
	}
	if err := yaml.NodeToValue(n, dst.Addr().Interface()); err != nil {
		d.fault(path, n, "must be "+expected(dst))
	}
}

func expected(dst reflect.Value) string {
	if dst.Type() == durationType {
		return `a duration such as "500ms" or "2s"`
	}
	switch dst.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

// fieldOf returns the field of a struct whose yaml tag is key.
func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("yaml")
		if tag == key && tag != "-" {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func errorLine(err error) int {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil && e.GetToken().Position != nil {
		return e.GetToken().Position.Line
	}
	return 0
}

func firstLine(err error) string {
	text := err.Error()
	var e yaml.Error
	if errors.As(err, &e) {
		text = e.GetMessage()
	}
	line, _, _ := strings.Cut(text, "\n")
	return line
}
