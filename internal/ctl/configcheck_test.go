package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/ctl"
	"github.com/burdockfold/burdockfold/platform"
)

const operatorsConfig = `{"version":"r2","resources":[
{"resource_kind":"routes","metadata":{"name":"a"},"spec":{"host":"h","path_prefix":"/","kind":"idempotent","service":"s","max_attempts":1,"allowed_regions":["north"]}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{}}]}`

func TestConfigCheckExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	sound := write("sound.json", operatorsConfig)
	older := write("older.json", strings.NewReplacer("r2", "r1", `"max_attempts":1`, `"max_attempts":2`).Replace(operatorsConfig))
	suspect := write("suspect.json", strings.Replace(operatorsConfig, "max_attempts", "max_atempts", 1))
	refused := write("refused.json", strings.Replace(operatorsConfig, `"service":"s"`, `"service":"x"`, 1))
	host := write("host.yaml", "host: {name: 10.0.0.1, region: south, failure_domain: d}\nservice: s\n"+
		"listen: {caller: \"10.0.0.1:1\", local: \"10.0.0.1:2\", ready: \"10.0.0.1:3\", mesh: \"10.0.0.1:4\", metrics: \"10.0.0.1:5\"}\nstore: {addr: \"10.0.0.1:6\"}\n")

	run := func(args ...string) (ctl.ExitCode, routes.Report) {
		var out, errs bytes.Buffer
		code := ctl.Run(context.Background(), append([]string{"config", "check", "-o", "json"}, args...),
			ctl.Env{Stdout: &out, Stderr: &errs, InspectConfig: platform.InspectConfig})
		var r routes.Report
		if out.Len() > 0 {
			assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
		}
		assert.Equal(t, out.Len() == 0, code == 3, "%s%s", &out, &errs)
		return code, r
	}
	for _, c := range []struct {
		code  ctl.ExitCode
		found string // in a finding, as text
		args  []string
	}{
		{0, "", []string{sound}},
		{0, "attempts changes from 2 to 1", []string{"-against", older, "-regions", "north, south", sound}},
		{1, `unknown field "spec.max_atempts"`, []string{suspect}},
		{2, `unknown service "x"`, []string{refused}},
		{2, "not above version 2", []string{"-against", sound, older}},
		{2, "all its requests are refused", []string{"-settings", host, sound}},
		{1, `service "s": no backend server`, []string{"-settings", host, "-regions", "north", sound}},
		{2, "unexpected end of JSON", []string{write("cut.json", operatorsConfig[:99])}},
		{3, "", []string{filepath.Join(dir, "none")}},
		{3, "", []string{"-against", refused, sound}},
		{3, "", []string{"-settings", sound, sound}},
		{3, "", []string{"-unknown", sound}},
		{3, "", nil},
		{3, "", []string{"-o", "xml", sound}},
	} {
		code, r := run(c.args...)
		assert.Check(t, code == c.code, "%v: exit code %d: %v", c.args, code, r)
		var texts []string
		for _, f := range r.Findings {
			texts = append(texts, f.Text)
		}
		assert.Check(t, strings.Contains(strings.Join(texts, "\n"), c.found), "%v: %v", c.args, texts)
	}
}
