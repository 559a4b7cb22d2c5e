package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
)

const slowAnswerBytes = 8 << 20

// longAnswers implements hop.Handler. Its answers take room in a memory.
type longAnswers struct{ memory *held.Memory }

func (h longAnswers) Serve(ctx context.Context, _ *hop.Request) *hop.Answer {
	a := &hop.Answer{Status: http.StatusOK, ReachedBackend: true, Body: bytes.Repeat([]byte("a"), slowAnswerBytes), Memory: h.memory.NewAnswer()}
	if err := a.Memory.Grow(ctx, slowAnswerBytes); err != nil {
		panic(err)
	}
	a.Memory.DoneReading()
	return a
}

// A caller that takes nothing of its answer is cut off, and its room comes free although its
// connection stays open at its end; what it got is no whole answer. One that reads slowly is
// served whole.
func TestAnswerThatIsNotRead(t *testing.T) {
	memory := &held.Memory{}
	table := routes.NewTable(routes.Config{Version: 1, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
	}}})
	d := NewDispatcher("h", oneOwner{}, longAnswers{memory}, noSender{}, Budget{Window: time.Second}, noMetrics{}, realClock{}, zap.NewNop())
	s := NewServer(hop.HeaderNames{RequestID: "Id"}, fixedRoutes{table}, d, func() string { return "c" }, 100, memory, hop.NewStop(), realClock{}, zap.NewNop())
	s.SetUnreadTime(2 * time.Second)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	defer func() {
		assert.NilError(t, s.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	}()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	ask := func() *bufio.Reader {
		c, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, c)
		assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
		_, err = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
		assert.NilError(t, err)
		return bufio.NewReader(c)
	}
	unread := ask()
	free := func(poll.LogT) poll.Result {
		if _, cut := memory.Cuts(); cut == 1 {
			if _, _, answers := memory.Bytes(); answers == 0 {
				return poll.Success()
			}
		}
		return poll.Continue("the answer is held")
	}
	poll.WaitOn(t, free, poll.WithTimeout(20*time.Second))
	if resp, err := http.ReadResponse(unread, nil); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		assert.Assert(t, err != nil, "the answer looks whole")
	}
	resp, err := http.ReadResponse(ask(), nil)
	assert.NilError(t, err)
	read := int64(0)
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		n, err := io.CopyN(io.Discard, resp.Body, 128<<10)
		assert.NilError(t, err)
		read += n
	}
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, read+n, int64(slowAnswerBytes))
	poll.WaitOn(t, free, poll.WithTimeout(20*time.Second))
}
