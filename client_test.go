package burdockfold

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/standin/rawserver"
)

// A spoilt head is no answer, and does not say that the request has not run.
func TestClientRejectsSpoiltHead(t *testing.T) {
	addr, answers := rawserver.Start(t)
	c, err := NewClient(ClientConfig{Daemons: []string{addr}})
	assert.NilError(t, err)
	defer c.Close()
	send := func(answer string) (*Response, error) {
		answers <- answer
		return c.Do(t.Context(), &Request{Service: "s", Method: http.MethodGet, Path: "/"})
	}
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2",
		"HTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 2",
		"HTTP/1.1 200 OK\r\nContent-Length : 2",
		"HTTP/1.1 200 OK\r\n\nX: y\r\nContent-Length: 2",
	} {
		for _, truth := range []string{"ran", "not-run"} {
			resp, err := send(head + "\r\nBurdock-Truth: " + truth + "\r\nConnection: close\r\n\r\nhi")
			assert.Assert(t, err != nil, "%q: %v", head, resp)
			assert.Equal(t, err.(*Error).Truth, Unknown, "%q", head)
		}
	}
	resp, err := send("HTTP/1.1 200 OK\r\nBurdock-Truth: ran\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "hi")
}
