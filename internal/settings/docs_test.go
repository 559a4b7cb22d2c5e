package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/burdockfold/burdockfold/internal/settings"
)

// keyPaths returns the settings path of every key in a struct type, below a prefix.
func keyPaths(t reflect.Type, prefix string) []string {
	var list []string
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("yaml")
		switch {
		case tag == "-":
		case f.Type.Kind() == reflect.Struct:
			list = append(list, keyPaths(f.Type, prefix+tag+".")...)
		case f.Type.Kind() == reflect.Slice:
			list = append(list, keyPaths(f.Type.Elem(), prefix+tag+"[].")...)
		default:
			list = append(list, prefix+tag)
		}
	}
	return list
}

func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	assert.NilError(t, err)
	for _, path := range keyPaths(reflect.TypeOf(settings.Settings{}), "") {
		assert.Check(t, cmp.Contains(string(page), "`"+path+"`"))
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 2)
	for _, f := range files {
		_, err := settings.Load([]string{"-settings", f})
		assert.NilError(t, err)
	}
}
