package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
	"github.com/burdockfold/burdockfold/internal/pipeline"
	"github.com/burdockfold/burdockfold/internal/standin/rawserver"
)

// An answer whose status is none is neither an answer for the caller nor the success of a
// command. The HTTP library takes 000 for 200.
func TestStatusThatIsNone(t *testing.T) {
	addr, answers := rawserver.Start(t)
	s := NewCommandSender(ident.Member{Host: "h", Incarnation: 1}, nil, nil)
	for _, status := range []string{"000", "099", "600", "0200", "+20", "200"} {
		answer := "HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n"
		answers <- answer
		postErr := s.post(context.Background(), addr, PathGrants, nil)
		answers <- answer
		readErr := runExchange(t, addr, 0)
		if status == "200" {
			assert.NilError(t, postErr)
			assert.NilError(t, readErr)
			continue
		}
		assert.Assert(t, postErr != nil, "status %q", status)
		assert.ErrorIs(t, readErr, httpconn.ErrStatusLine)
	}
}

// runExchange sends a request with a body of size bytes, reads the answer to its end and returns
// the error of either.
func runExchange(t *testing.T, addr string, size int) error {
	pool := httpconn.NewPool(addr, 1)
	conn, err := pool.Get(t.Context(), true)
	assert.NilError(t, err)
	x := &exchange{
		pool: pool, conn: conn, deadline: time.Now().Add(5 * time.Second), remaining: time.Second,
		req:       &pipeline.Request{ID: "a", Method: http.MethodPost, URI: "/", Body: strings.NewReader(strings.Repeat("u", size)), ContentLength: int64(size)},
		stopWatch: func() bool { return true },
	}
	resp, err := x.run()
	if err != nil {
		x.release(false)
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// A spoilt head is neither an answer for the caller, nor a refusal, nor the success of a command.
func TestSpoiltHeadIsNoAnswer(t *testing.T) {
	addr, answers := rawserver.Start(t)
	s := NewCommandSender(ident.Member{Host: "h", Incarnation: 1}, nil, nil)
	for _, fields := range []string{
		"Content-Length: 5\r\nContent-Length: 2", "X : y\r\nContent-Length: 2", "\nX: y\r\nContent-Length: 2", "X: y\r\n z\r\nContent-Length: 2",
		"Transfer-Encoding: identity\r\nContent-Length: 2", HeaderRefused + ": lease-lapsed\r\nX : y\r\nContent-Length: 2",
	} {
		answer := "HTTP/1.1 200 OK\r\nConnection: close\r\n" + fields + "\r\n\r\nhi"
		answers <- answer
		assert.Check(t, s.post(t.Context(), addr, PathGrants, nil) != nil, fields)
		answers <- answer
		err := runExchange(t, addr, 0)
		assert.Assert(t, err != nil, fields)
		assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown, fields)
	}
}

// An answer that is reset with the upload is whole only by its length or its last chunk.
func TestAnswerResetDuringTheUpload(t *testing.T) {
	addr, answers := rawserver.Start(t)
	for answer, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nhi":                                                 false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi":                            false,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi":                            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n":          false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi":                            true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n": true,
	} {
		answers <- answer
		err := runExchange(t, addr, 8<<20)
		assert.Check(t, (err == nil) == whole, "%q: %v", answer, err)
	}
}
