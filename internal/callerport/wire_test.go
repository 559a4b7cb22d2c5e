package callerport_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/callerport"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

func send(t *testing.T, c io.Writer, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

func TestContinueIsSentOnlyWhenTheRequestIsTaken(t *testing.T) {
	addr, _, _ := startPort(t, nil)
	c := dial(t, addr)
	r := bufio.NewReader(c)
	send(t, c, "POST /svc/echo HTTP/1.1\r\nHost: d\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
	line, err := r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	assert.NilError(t, err)
	send(t, c, "hello")
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "hello")
}

// A caller that sends slowly or hangs up early gets an error with the matching kind,
// and its request is never treated as complete.
func TestIncompleteRequests(t *testing.T) {
	shortTimeouts := func(c *callerport.Config) {
		c.HeaderTimeout = 50 * time.Millisecond
		c.BodyTimeout = 50 * time.Millisecond
	}
	chunked := "POST /svc/echo HTTP/1.1\r\nHost: d\r\n" + chunkedHead
	cases := []struct {
		name, send, kind string
		hangUp           bool
	}{
		{"slow-header", "GET /svc/a HTTP/1.1\r\nHos", "header-timeout", false},
		{"slow-body", "POST /svc/echo HTTP/1.1\r\nHost: d\r\nContent-Length: 9\r\n\r\nhi", "body-timeout", false},
		{"slow-long-body", "POST /svc/echo HTTP/1.1\r\nHost: d\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 8500), "body-timeout", false},
		{"slow-chunked-body", chunked + "5\r\nhello\r\n", "body-timeout", false},
		{"cut-body", "POST /svc/echo HTTP/1.1\r\nHost: d\r\nContent-Length: 9\r\n\r\nhi", "malformed", true},
		{"cut-long-body", "POST /svc/echo HTTP/1.1\r\nHost: d\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 8500), "malformed", true},
		{"cut-between-chunks", chunked + "5\r\nhello\r\n", "malformed", true},
		{"cut-in-last-chunk", chunked + "5\r\nhello\r\n0\r\n", "malformed", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			configure := shortTimeouts
			if tc.hangUp {
				configure = nil
			}
			addr, _, _ := startPort(t, configure)
			c := dial(t, addr)
			send(t, c, tc.send)
			if tc.hangUp {
				assert.NilError(t, c.CloseWrite())
			}
			got, err := io.ReadAll(c)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(got), `"kind":"`+tc.kind+`"`), "%s", got)
		})
	}
}

func TestLargeBodiesBothWays(t *testing.T) {
	const size = 64 << 20
	addr, _, _ := startPort(t, nil)
	for _, length := range []int64{size, -1} {
		body := io.LimitReader(zeroReader{}, size)
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/svc/echo", io.NopCloser(body))
		assert.NilError(t, err)
		req.ContentLength = length
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		assert.NilError(t, resp.Body.Close())
	}
	resp, err := http.Get("http://" + addr + "/svc/big")
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	assert.NilError(t, resp.Body.Close())
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

func TestRequestFieldsAreEndToEnd(t *testing.T) {
	addr, h, _ := startPort(t, nil)
	c := dial(t, addr)
	send(t, c, "GET /svc/a HTTP/1.1\r\nHost: d\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"+
		"Upgrade: h2c\r\nKeep-Alive: 1\r\nProxy-Authorization: p\r\nX-Kept: k\r\nBurdock-Deadline-Ms: 1500\r\n"+
		"Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\nBurdock-Repeat: true\r\n\r\n")
	_, err := io.ReadAll(c)
	assert.NilError(t, err)
	r := <-h.requests
	assert.DeepEqual(t, r.Header, []pipeline.HeaderField{{Name: "Host", Value: "d"}, {Name: "X-Kept", Value: "k"}})
	assert.Equal(t, r.Deadline.Sub(r.Arrived), 1500*time.Millisecond)
	assert.Equal(t, r.Traceparent, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	assert.Assert(t, r.ClaimsRepeat)
}

func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	addr, h, _ := startPort(t, nil)
	c := dial(t, addr)
	send(t, c, "GET /svc/wait HTTP/1.1\r\nHost: d\r\n\r\n")
	<-h.requests
	assert.NilError(t, c.Close())
	assert.ErrorIs(t, <-h.canceled, context.Canceled)
}

// A caller that does not read its answer holds it no longer than the service's deadline.
func TestSlowReaderReleasesTheAnswer(t *testing.T) {
	addr, h, _ := startPort(t, nil)
	c := dial(t, addr)
	send(t, c, "GET /brief/big HTTP/1.1\r\nHost: d\r\n\r\n")
	select {
	case <-h.closed:
	case <-time.After(30 * time.Second):
		t.Fatal("the answer is still held")
	}
}

func TestShutdownCutsNoRequestInFlight(t *testing.T) {
	addr, h, p := startPort(t, nil)
	busy, idle := dial(t, addr), dial(t, addr)
	send(t, idle, "GET /svc/a HTTP/1.1\r\nHost: d\r\n\r\n")
	send(t, busy, "GET /svc/gate HTTP/1.1\r\nHost: d\r\n\r\n")
	<-h.requests
	<-h.requests
	done := make(chan error, 1)
	go func() { done <- p.Shutdown(context.Background()) }()
	got, err := io.ReadAll(idle)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(got), "200 OK"))
	h.gate <- struct{}{}
	got, err = io.ReadAll(busy)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(got), "through"), "%s", got)
	assert.NilError(t, <-done)
}
