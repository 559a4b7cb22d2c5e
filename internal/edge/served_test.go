package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// shortAnswers implements hop.Handler.
type shortAnswers struct{}

func (shortAnswers) Serve(context.Context, *hop.Request) *hop.Answer {
	return &hop.Answer{Status: http.StatusOK, ReachedBackend: true, Body: []byte("done")}
}

// serveWith serves on a port of its own until the end of the test and returns its address.
func serveWith(t *testing.T, memory *held.Memory) string {
	table := routes.NewTable(routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
	}}})
	d := NewDispatcher("h", oneOwner{}, shortAnswers{}, noSender{}, Budget{Window: time.Second}, noMetrics{}, realClock{}, zap.NewNop())
	s := NewServer(hop.HeaderNames{RequestID: "Id"}, fixedRoutes{table}, d, func() string { return "c" }, 100, memory, hop.NewStop(), realClock{}, zap.NewNop())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return ln.Addr().String()
}

// The memory of a long head ends with its request, while its connection goes on: the answers to
// each method and version are as to a short head.
func TestLongHeadsLeaveNothing(t *testing.T) {
	memory := held.New(heldmem.LimitsOf(96_000_000))
	c, err := net.Dial("tcp4", serveWith(t, memory))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, fields := range []string{"", "X: " + strings.Repeat("a", 15_000) + "\r\n", strings.Repeat("a:\r\n", 3700), "Cookie: " + strings.Repeat("a;", 7000) + "\r\n"} {
		for _, method := range []string{"GET", "HEAD", "POST"} {
			for _, version := range []string{"1.1", "1.0"} {
				_, err := fmt.Fprintf(c, "%s /x HTTP/%s\r\nHost: h\r\nId: a\r\nConnection: keep-alive\r\n%s\r\n", method, version, fields)
				assert.NilError(t, err)
				resp, err := http.ReadResponse(r, &http.Request{Method: method})
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, string(body) == "done", method != "HEAD")
				assert.Assert(t, version == "1.1" || resp.Header.Get("Connection") == "keep-alive")
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if total, _, _ := memory.Bytes(); total != heldmem.ConnectionBytes {
						return poll.Continue("%d bytes are counted", total)
					}
					return poll.Success()
				})
			}
		}
	}
}

// A request whose head has no room is refused as not run.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	limits := heldmem.LimitsOf(96_000_000)
	memory := held.New(limits)
	addr := serveWith(t, memory)
	taken := int(limits.Heads)
	assert.Assert(t, memory.ReserveRequest(taken))
	defer memory.ReleaseRequest(taken)
	before, _, _ := memory.Bytes()
	for _, head := range []struct {
		fields string
		status int
	}{{"", http.StatusOK}, {"X: " + strings.Repeat("a", 15_000) + "\r\n", http.StatusServiceUnavailable}} {
		c, err := net.Dial("tcp4", addr)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\nConnection: close\r\n%s\r\n", head.fields)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, head.status)
		assert.NilError(t, c.Close())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if total, _, _ := memory.Bytes(); total != before {
				return poll.Continue("%d bytes are counted", total)
			}
			return poll.Success()
		})
	}
}
