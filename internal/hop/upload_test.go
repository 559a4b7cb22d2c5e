package hop

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// stallingHook wraps connections so that, once armed, they stop after left more bytes until
// released.
type stallingHook struct {
	armed   atomic.Bool
	left    atomic.Int64
	release chan struct{}
}

func (h *stallingHook) WrapConn(_ ident.Member, _ mesh.Peer, c net.Conn) (net.Conn, error) {
	return &stallingConn{c, h}, nil
}

type stallingConn struct {
	net.Conn
	hook *stallingHook
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if c.hook.armed.Load() && c.hook.left.Add(-int64(len(p))) < 0 {
		<-c.hook.release
	}
	return c.Conn.Write(p)
}

// countingHandler implements Handler. It counts the requests that it runs and does not answer.
type countingHandler struct {
	runs    atomic.Int64
	started chan struct{}
}

func (h *countingHandler) Serve(ctx context.Context, _ *Request) *Answer {
	h.runs.Add(1)
	h.started <- struct{}{}
	<-ctx.Done()
	return FailedAnswer(errkind.New(errkind.Canceled, "%w", ctx.Err()))
}

// The deadline passes while a body is on its way over a slow link. Its request has not run, and
// never will: it was answered as of unknown outcome.
func TestUploadThatDidNotArriveHasNotRun(t *testing.T) {
	const size = 400_000
	notRun := 0
	for _, left := range []int64{0, 20_000, 100_000, 250_000, 2 * size} {
		clock := ident.NewMonotonicClock()
		handler := &countingHandler{started: make(chan struct{}, 2)}
		b, peer := startMesh(t, "b", nil)
		b.SetHandlers(noControl{}, NewServer(handler, &BodyBudget{}, clock, zap.NewNop()))
		hook := &stallingHook{release: make(chan struct{})}
		a, _ := startMesh(t, "a", hook)
		client := NewClient(a, clock)
		send := func(body []byte, wait time.Duration) *Answer {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			go func() {
				select {
				case <-handler.started:
					cancel()
				case <-ctx.Done():
				}
			}()
			return client.Send(ctx, peer, &Request{ID: "i", Method: "POST", URI: "/", Body: body, Key: NoKey, Deadline: clock.Now().Add(wait)})
		}
		send(nil, 10*time.Second) // opens the connection
		hook.left.Store(left)
		hook.armed.Store(true)
		before := handler.runs.Load()
		wait := 200 * time.Millisecond
		if left > size {
			wait = 10 * time.Second
		}
		got := send(bytes.Repeat([]byte("x"), size), wait)
		close(hook.release)
		time.Sleep(50 * time.Millisecond) // what was queued arrives now
		ran := handler.runs.Load() > before
		if got.Failure.Answer().Truth == errkind.NotRun {
			notRun++
			assert.Assert(t, !ran && !got.ReachedBackend, "%d bytes", left)
			assert.Equal(t, got.Failure.Kind, errkind.DeadlineBeforeStart)
		}
		assert.Equal(t, left > size, ran, "%d bytes", left)
	}
	assert.Equal(t, notRun, 4)
}
