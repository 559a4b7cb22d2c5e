package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// An answer whose status is none is neither an answer for the caller nor the success of a
// command. The HTTP library takes 000 for 200.
func TestStatusThatIsNone(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	answers := make(chan string, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(<-answers))
			}
			_ = c.Close()
		}
	}()
	s := NewCommandSender(ident.Member{Host: "h", Incarnation: 1}, nil, nil)
	for _, status := range []string{"000", "099", "600", "0200", "+20", "200"} {
		answer := "HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n"
		answers <- answer
		postErr := s.post(context.Background(), ln.Addr().String(), PathGrants, nil)
		var h fasthttp.ResponseHeader
		readErr := httpconn.ReadHead(bufio.NewReader(strings.NewReader(answer)), &h)
		if status == "200" {
			assert.NilError(t, postErr)
			assert.NilError(t, readErr)
			continue
		}
		assert.Assert(t, postErr != nil, "status %q", status)
		assert.ErrorIs(t, readErr, httpconn.ErrStatusLine)
	}
}
