package callerport

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// FuzzHeader parses arbitrary request targets, deadlines and ids of callers.
func FuzzHeader(f *testing.F) {
	f.Add("/svc/key?q", "1500", "id-1")
	f.Add("http://host", "-1", "a b")
	f.Add("*", "18446744073709551616", strings.Repeat("x", 70))
	f.Fuzz(func(t *testing.T, target, deadline, id string) {
		var h fasthttp.RequestHeader
		h.SetRequestURI(target)
		uri, e := requestTarget(&h)
		if e == nil {
			assert.Assert(t, strings.HasPrefix(uri, "/"))
			_, rest := pipeline.ServiceName("", uri)
			assert.Assert(t, !strings.Contains(rest, "?"))
		} else {
			assert.Equal(t, e.Kind, errkind.Malformed)
		}
		left, e := parseDeadline([]byte(deadline))
		assert.Assert(t, left >= 0 && left <= maxDeadline)
		assert.Assert(t, e == nil || e.Kind == errkind.Malformed)
		if isValidID(id) {
			assert.Assert(t, len(id) <= maxIDLen && !strings.ContainsAny(id, " \r\n\t\"=,"))
		}
	})
}
