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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

var durationType = reflect.TypeOf(time.Duration(0))

// Decode decodes a YAML document into the struct that s points to and leaves the
// fields that the document does not name unchanged. It returns Problems that hold
// either a syntax error or every unknown key and every value of the wrong type.
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
			d.decodeValue("", doc.Body, reflect.ValueOf(s).Elem())
		}
	}
	return d.problems.errOrNil()
}

// decoder decodes a YAML document into a Go value. It continues after an error, so
// that one pass finds all problems.
type decoder struct{ problems Problems }

// addProblem records a problem at the line of a node.
func (d *decoder) addProblem(path string, n ast.Node, text string) {
	p := Problem{Path: path, Text: text}
	if path == "" {
		p.Path = "file"
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
	}
	d.problems = append(d.problems, p)
}

func (d *decoder) decodeValue(path string, n ast.Node, dst reflect.Value) {
	switch {
	case dst.Kind() == reflect.Struct:
		d.decodeMapping(path, n, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeSequence(path, n, dst)
	default:
		d.decodeScalar(path, n, dst)
	}
}

func (d *decoder) decodeMapping(path string, n ast.Node, dst reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.addProblem(path, n, "must be a mapping of keys to values")
		return
	}
	for _, entry := range m.Values {
		key := entry.Key.String()
		full := joinPath(path, key)
		field, ok := fieldByKey(dst, key)
		if !ok {
			d.addProblem(full, entry.Key, "unknown key")
			continue
		}
		if _, isNull := entry.Value.(*ast.NullNode); isNull {
			d.addProblem(full, entry.Key, "has no value")
			continue
		}
		d.decodeValue(full, entry.Value, field)
	}
}

func (d *decoder) decodeSequence(path string, n ast.Node, dst reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(path, n, "must be a list")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(s.Values), len(s.Values))
	for i, v := range s.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), v, list.Index(i))
	}
	dst.Set(list)
}

func (d *decoder) decodeScalar(path string, n ast.Node, dst reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok {
		d.addProblem(path, n, "must be a single value")
		return
	}
	if err := yaml.NodeToValue(n, dst.Addr().Interface()); err != nil {
		d.addProblem(path, n, "must be "+typeDescription(dst))
	}
}

// typeDescription describes the values that a setting of dst's type accepts, for
// use in a problem.
func typeDescription(dst reflect.Value) string {
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

// fieldByKey returns the field of a struct whose yaml tag is key.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("yaml")
		if tag == key && tag != "-" {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// errorLine returns the line of a YAML error, or 0 if it is unknown.
func errorLine(err error) int {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil && e.GetToken().Position != nil {
		return e.GetToken().Position.Line
	}
	return 0
}

// firstLine returns the first line of an error's message, without the excerpt of
// the source that a YAML error carries.
func firstLine(err error) string {
	text := err.Error()
	var e yaml.Error
	if errors.As(err, &e) {
		text = e.GetMessage()
	}
	line, _, _ := strings.Cut(text, "\n")
	return line
}
