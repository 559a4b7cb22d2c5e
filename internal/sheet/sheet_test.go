package sheet_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/sheet"
)

const examplesDir = "../../examples/"

func TestParseListsEveryProblem(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	assert.NilError(t, err)
	var out strings.Builder
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		_, problems := sheet.Parse(bytes.NewReader(data))
		fmt.Fprintf(&out, "# %s\n%s\n\n", filepath.Base(name), problems.Error())
	}
	golden.Assert(t, out.String(), "problems.golden")
}

// mustParse parses a sheet that must not have any problem.
func mustParse(t rapid.TB, text string) sheet.Sheet {
	t.Helper()
	s, problems := sheet.Parse(strings.NewReader(text))
	assert.Equal(t, len(problems), 0, "%s", problems.Error())
	return s
}

func readExample(t testing.TB, name string) string {
	data, err := os.ReadFile(examplesDir + name)
	assert.NilError(t, err)
	return string(data)
}

// TestExamplesAreCanonical parses and writes each example, and expects the same lines
// except for the notes.
func TestExamplesAreCanonical(t *testing.T) {
	for _, name := range []string{"siamsaw.csv", "thiruvalla.csv", "shared.csv"} {
		docs := mustParse(t, readExample(t, name)).Documents()
		assert.Equal(t, len(docs), 1)
		var out bytes.Buffer
		assert.NilError(t, sheet.Write(&out, docs[0].Document))
		lines := strings.Split(readExample(t, name), "\n")
		for i, line := range strings.Split(out.String(), "\n") {
			assert.Assert(t, strings.HasPrefix(lines[i], line), "%s: %q, %q", name, line, lines[i])
		}
	}
}

// drawDocument generates a valid document of the tenant siamsaw.
func drawDocument(t *rapid.T) config.Document {
	name := rapid.StringMatching(`[a-zก-ฮഅ-ഹ][a-z0-9ก-ฮഅ-ഹ-]{0,9}`)
	var d config.Document
	for _, n := range rapid.SliceOfNDistinct(name, 1, 8, rapid.ID).Draw(t, "names") {
		s := config.Service{
			Name: ident.Service(n), Tenant: "siamsaw", Pool: ident.Pool(n), Mode: config.Pooled,
			Deadline:   time.Duration(rapid.IntRange(1, 86_400_000).Draw(t, "deadline")) * time.Millisecond,
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxBody:    rapid.Int64Range(1, config.MaxBodyLimit).Draw(t, "body"),
		}
		if rapid.Bool().Draw(t, "keyed") {
			s.Mode, s.KeyFrom = config.Keyed, config.KeyFromHeader
			s.Slices = 1 << rapid.IntRange(0, 16).Draw(t, "bits")
		}
		d.Services = append(d.Services, s)
		d.Pools = append(d.Pools, config.Pool{Name: s.Pool, Tenant: s.Tenant})
	}
	return d
}

func TestParseReadsWhatWriteWritesInEveryDialect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawDocument(t)
		var out bytes.Buffer
		assert.NilError(t, sheet.Write(&out, want))
		text := out.String()
		if rapid.Bool().Draw(t, "semicolon") {
			text = strings.ReplaceAll(text, ",", ";")
		}
		if rapid.Bool().Draw(t, "crlf") {
			text = strings.ReplaceAll(text, "\n", "\r\n")
		}
		if rapid.Bool().Draw(t, "mark") {
			text = "\xef\xbb\xbf" + text
		}
		docs := mustParse(t, text).Documents()
		assert.DeepEqual(t, docs, []sheet.ScopeDocument{{Scope: "siamsaw", Document: want.Canonical()}})
	})
}

// poolRows returns a sheet with n rows.
func poolRows(n int) string {
	var b strings.Builder
	b.WriteString("kind,name,tenant\n")
	for i := range n {
		fmt.Fprintf(&b, "pool,p%d,siamsaw\n", i)
	}
	return b.String()
}

func TestRowLimit(t *testing.T) {
	assert.Equal(t, len(mustParse(t, poolRows(sheet.MaxRows)).Pools), sheet.MaxRows)
	_, problems := sheet.Parse(strings.NewReader(poolRows(sheet.MaxRows + 1)))
	assert.ErrorContains(t, problems, "more than 100000 rows")
}

func TestChangesNeedRemovalsNamed(t *testing.T) {
	fullSheet := readExample(t, "siamsaw.csv")
	doc := mustParse(t, fullSheet).Documents()[0].Document
	inForce := func(config.Scope) sheet.ScopeState { return sheet.ScopeState{Version: 7, Document: doc} }
	reducedSheet := ""
	for _, line := range strings.SplitAfter(fullSheet, "\n") {
		if !strings.Contains(line, "payments") {
			reducedSheet += line
		}
	}
	reducedSheet = strings.Replace(reducedSheet, ",64,path", ",128,path", 1)
	_, problems := mustParse(t, reducedSheet).PlanChanges(inForce, sheet.ChangeOptions{RemovedNames: []string{"ledger"}})
	golden.Assert(t, problems.Error()+"\n", "changes.golden")

	reducedSheet = strings.Replace(reducedSheet, ",128,path", ",64,header", 1)
	plans, problems := mustParse(t, reducedSheet).PlanChanges(inForce, sheet.ChangeOptions{Author: "mali", RemovedNames: []string{"payments"}})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, len(plans), 1)
	assert.Equal(t, plans[0].Change.Base, config.Version(7))
	assert.Equal(t, fmt.Sprint(plans[0].Differences),
		"[pool payments removed service catalog: key_from changes from path to header service payments removed]")

	plans, problems = mustParse(t, fullSheet).PlanChanges(inForce, sheet.ChangeOptions{})
	assert.Equal(t, len(plans)+len(problems), 0)
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"siamsaw.csv", "thiruvalla.csv", "shared.csv"} {
		f.Add([]byte(readExample(f, name)))
	}
	files, err := filepath.Glob("testdata/*.csv")
	assert.NilError(f, err)
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := sheet.Parse(bytes.NewReader(data))
		if len(problems) > 0 {
			return
		}
		for _, want := range s.Documents() {
			var out bytes.Buffer
			assert.NilError(t, sheet.Write(&out, want.Document))
			again, problems := sheet.Parse(&out)
			assert.Equal(t, len(problems), 0, "%s", problems.Error())
			assert.Equal(t, len(config.Diff(want.Document, again.Documents()[0].Document)), 0)
		}
	})
}

func TestPageNamesEveryColumn(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/sheet.md")
	assert.NilError(t, err)
	var header bytes.Buffer
	assert.NilError(t, sheet.Write(&header, config.Document{}))
	for _, column := range strings.Split(strings.TrimSpace(header.String()), ",") {
		assert.Assert(t, strings.Contains(string(page), "\n| `"+column+"` |"), column)
	}
}
