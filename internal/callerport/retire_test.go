package callerport_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// After Retire, every answer closes its connection. Otherwise a caller could send its next
// request on the connection while the port shuts down.
func TestRetiredPortEndsEachConnectionWithAnAnswer(t *testing.T) {
	addr, _, p := startPort(t, nil)
	p.Retire()
	for range 2 {
		c := dial(t, addr)
		send(t, c, "GET /svc/a HTTP/1.1\r\nHost: d\r\n\r\n")
		got, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(got), "200 OK"), "%s", got)
		assert.Assert(t, strings.Contains(string(got), "Connection: close"), "%s", got)
	}
}
