package httpconn

import (
	"bufio"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wellFormed is the status line of an answer that daemons accept.
var wellFormed = regexp.MustCompile(`^[\r\n]*HTTP/1\.[01] ([1-5][0-9]{2})[ \r\n]`)

// Whatever bytes a server sends, only a status of three digits counts, and nothing of the line
// is taken away from the parser.
func FuzzCheckStatus(f *testing.F) {
	for _, line := range []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 599\n", "\r\nHTTP/1.1 100 Continue\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 101 S\r\n",
		"HTTP/1.1 0200 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1  20 OK\r\n", "HTTP/1.1 2 0 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 20x OK\r\n", "HTTP/1.1\r\n", "HTTP/2.0 200 OK\r\n", "200",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, data string) {
		r := bufio.NewReader(strings.NewReader(data))
		status, err := checkStatus(r)
		m := wellFormed.FindStringSubmatch(data)
		if m == nil || m[1] == "101" {
			assert.Assert(t, err != nil, "status %d of %q", status, data)
			return
		}
		assert.NilError(t, err, "%q", data)
		assert.Equal(t, string(rune('0'+status/100))+string(rune('0'+status/10%10))+string(rune('0'+status%10)), m[1])
		rest, _ := r.Peek(4)
		assert.Equal(t, string(rest), "HTTP")
	})
}
