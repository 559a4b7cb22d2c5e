package hop

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// cuttingHook wraps connections so that the peer's bytes end after left more of them.
type cuttingHook struct {
	armed atomic.Bool
	left  atomic.Int64
}

func (h *cuttingHook) WrapConn(_ ident.Member, _ mesh.Peer, c net.Conn) (net.Conn, error) {
	return &cuttingConn{c, h}, nil
}

type cuttingConn struct {
	net.Conn
	hook *cuttingHook
}

func (c *cuttingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.hook.armed.Load() {
		return n, err
	}
	if left := c.hook.left.Add(-int64(n)); left < 0 {
		_ = c.Close()
		return max(n+int(left), 0), io.EOF
	}
	return n, err
}

// fixedAnswer implements Handler.
type fixedAnswer struct{ body []byte }

func (f *fixedAnswer) Serve(context.Context, *Request) *Answer {
	return &Answer{Status: 200, Header: []Field{{"Content-Type", "text/plain"}}, Body: f.body, ReachedBackend: true}
}

func startMesh(t testing.TB, host ident.Host, hook mesh.LinkHook, change ...func(*mesh.Config)) (*mesh.Mesh, mesh.Peer) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	self := mesh.Peer{Member: ident.Member{Host: host, Incarnation: 1}, Addr: ln.Addr().String()}
	cfg := mesh.Config{Self: self, Cluster: "t", Plain: true, LinkHook: hook, RetryMin: time.Millisecond, RetryMax: time.Millisecond, Logger: zap.NewNop()}
	for _, f := range change {
		f(&cfg)
	}
	m, err := mesh.New(cfg)
	assert.NilError(t, err)
	g := duty.NewGroup(context.Background())
	g.Go("serve", func(context.Context) error { return m.Serve(ln) })
	t.Cleanup(func() {
		assert.NilError(t, m.Close())
		assert.NilError(t, g.Wait())
	})
	return m, self
}

// The connection between two daemons may end at any byte of an answer. What arrived by then
// must not pass for the whole one.
func TestAnswerCutBetweenDaemonsIsNoSuccess(t *testing.T) {
	for _, c := range []struct{ bytes, step int64 }{{40, 1}, {inlineBytes + 30_000, 3001}} {
		answer := &fixedAnswer{body: bytes.Repeat([]byte("x"), int(c.bytes))}
		clock := ident.NewMonotonicClock()
		b, peer := startMesh(t, "b", nil)
		b.SetHandlers(noControl{}, NewServer(answer, &BodyBudget{}, clock, zap.NewNop()))
		hook := &cuttingHook{}
		a, _ := startMesh(t, "a", hook)
		client := NewClient(a, clock)
		send := func() *Answer {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return client.Send(ctx, peer, &Request{ID: "i", Method: "GET", URI: "/", Key: NoKey, Deadline: clock.Now().Add(5 * time.Second)})
		}
		whole, cut := 0, 0
		for left := int64(0); whole < 3; left += c.step {
			for send().Failure != nil { // until the connection stands again
				time.Sleep(time.Millisecond)
			}
			hook.left.Store(left)
			hook.armed.Store(true)
			got := send()
			hook.armed.Store(false)
			if got.Failure != nil {
				cut++
				continue
			}
			whole++
			assert.Equal(t, got.Status, 200)
			assert.Assert(t, bytes.Equal(got.Body, answer.body), "%d of %d bytes after a cut at %d", len(got.Body), len(answer.body), left)
		}
		assert.Assert(t, cut > 10, "%d cuts", cut)
	}
}

type noControl struct{}

func (noControl) HandleControl(ident.Member, mesh.Message) {}

// A daemon that takes a long answer slowly is cut off when the memory is needed for another
// one. What it got is no whole answer.
func TestSlowDaemonIsCutForOthers(t *testing.T) {
	const long = 4 << 20
	memory := held.New(heldmem.Limits{Total: 3 * long / 2, Over: 2 * long, Bodies: long, Answers: 3 * long / 2, Reading: 3 * long / 2, Garbage: 1 << 40, Heap: 1, CutAfter: 10 * time.Millisecond, GiveUp: 10 * time.Second})
	b, peer := startMesh(t, "b", nil)
	clock := ident.NewMonotonicClock()
	b.SetHandlers(noControl{}, NewServer(roomyAnswer{memory, long}, memory, clock, zap.NewNop()))
	a, _ := startMesh(t, "a", nil)
	r := &Request{Key: NoKey, Deadline: clock.Now().Add(20 * time.Second)}
	head, _, err := encodeRequest(r, clock.Now(), inlineBytes)
	assert.NilError(t, err)
	slow, err := a.Open(context.Background(), peer, head, nil)
	assert.NilError(t, err)
	time.Sleep(soonDone) // it takes nothing for longer than a reader that is about to end
	got := NewClient(a, clock).Send(context.Background(), peer, r)
	assert.Assert(t, got.Failure == nil, "%v", got.Failure)
	assert.Equal(t, len(got.Body), long)
	_, err = io.Copy(io.Discard, slow.Body())
	assert.ErrorIs(t, err, mesh.ErrCut)
	assert.NilError(t, slow.Body().Close())
	eventuallyFree(t, memory)
}

// soonDone is longer than the readers that package heldmem spares need to be done.
const soonDone = 1500 * time.Millisecond

func eventuallyFree(t *testing.T, m *held.Memory) {
	for range 500 {
		if total, _, _ := m.Bytes(); total == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("bytes stay counted")
}

// roomyAnswer implements Handler with answers of some bytes that take room in a memory.
type roomyAnswer struct {
	memory *held.Memory
	bytes  int
}

func (h roomyAnswer) Serve(ctx context.Context, _ *Request) *Answer {
	a := &Answer{Status: 200, Memory: h.memory.NewAnswer()}
	if err := a.Memory.Grow(ctx, h.bytes); err != nil {
		return FailedAnswer(errkind.New(errkind.AnswerCut, "%w", err))
	}
	a.Memory.DoneReading()
	a.Body = make([]byte, h.bytes)
	return a
}
