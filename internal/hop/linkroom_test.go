package hop

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/mesh/shaper"
)

const slowMbps = 10

// stepClock is a clock that goes on by step at each look.
type stepClock struct{ now, step atomic.Int64 }

func (c *stepClock) Now() ident.Instant { return ident.Instant(c.now.Add(c.step.Load())) }

// echoAnswer answers with the body of the request.
type echoAnswer struct{}

func (echoAnswer) Serve(_ context.Context, r *Request) *Answer {
	return &Answer{Status: 200, Body: r.Body, ReachedBackend: true, ServiceTime: time.Millisecond}
}

// slowHost is a daemon with a slow link, and a client on a fast one.
type slowHost struct {
	mesh   *mesh.Mesh
	clock  *stepClock // of the room of the slow link
	client *Client
	peer   mesh.Peer
}

func startSlowHost(t *testing.T) *slowHost {
	links := shaper.New()
	t.Cleanup(func() { assert.NilError(t, links.Close()) })
	links.Delay("a", "b", 2*time.Millisecond)
	h := &slowHost{clock: &stepClock{}}
	h.clock.now.Store(int64(time.Hour))
	h.mesh, h.peer = startMesh(t, "b", nil, func(c *mesh.Config) {
		c.UnpacedBytes, c.SendRate = linkroom.UnpacedBytes(slowMbps), linkroom.BytesPerSecond(slowMbps)
	})
	s := NewServer(echoAnswer{}, &BodyBudget{}, h.clock, zap.NewNop())
	s.SetLinkRoom(NewLinkRoom(slowMbps, h.mesh.BytesReceived, h.clock), func() Load { return Load{Slots: 7} })
	h.mesh.SetHandlers(noControl{}, s)
	a, _ := startMesh(t, "a", links)
	h.client = NewClient(a, h.clock)
	return h
}

func (h *slowHost) send(size int, left time.Duration) *Answer {
	body := bytes.Repeat([]byte("0123456789"), size/10)
	r := &Request{ID: "i", Method: "POST", URI: "/", Key: NoKey, Deadline: ident.Instant(h.clock.now.Load()).Add(left), Body: body}
	a := h.client.Send(context.Background(), h.peer, r)
	if a.Failure == nil && !bytes.Equal(a.Body, body) {
		return FailedAnswer(errkind.New(errkind.AnswerCut, "%d of %d bytes", len(a.Body), len(body)))
	}
	return a
}

// A long body must leave the slow link of its receiver to short requests: while the clock of
// the link stands still, no more of it arrives than fits into flight.
func TestShortRequestPassesLongBody(t *testing.T) {
	const long = 400_000
	h := startSlowHost(t)
	var sending sync.WaitGroup
	var got *Answer
	sending.Go(func() { got = h.send(long, time.Hour) })
	for h.mesh.BytesReceived() < linkroom.MinUnpaced { // until the long body has begun
		time.Sleep(time.Millisecond)
	}
	short := h.send(100, time.Hour)
	assert.Assert(t, short.Failure == nil, "%v", short.Failure)
	assert.Assert(t, short.Load.LinkWait > 100*time.Millisecond, "%s", short.Load.LinkWait)
	assert.Assert(t, h.mesh.BytesReceived() < 80_000, "%d bytes before the answer", h.mesh.BytesReceived())

	refused := h.send(long, 300*time.Millisecond)
	assert.Assert(t, refused.Failure != nil && refused.Failure.Kind == errkind.Overloaded && refused.Failure.Answer().Truth == errkind.NotRun, "%v", refused.Failure)
	assert.Assert(t, refused.Failure.RetryAfter > 100*time.Millisecond && refused.Load.Slots == 7 && !refused.ReachedBackend)
	assert.Assert(t, h.mesh.BytesReceived() < 80_000, "a body that is refused at its head is not sent")

	h.clock.step.Store(int64(time.Millisecond))
	sending.Wait()
	assert.Assert(t, got.Failure == nil, "%v", got.Failure)
}

// A body that was admitted and cannot arrive before its deadline any more has not run.
func TestLateBodyIsRefused(t *testing.T) {
	h := startSlowHost(t)
	var sending sync.WaitGroup
	var got *Answer
	sending.Go(func() { got = h.send(400_000, time.Second) })
	for h.mesh.BytesReceived() < linkroom.MinUnpaced {
		time.Sleep(time.Millisecond)
	}
	h.clock.now.Add(int64(time.Second))
	sending.Wait()
	assert.Assert(t, got.Failure != nil && got.Failure.Kind == errkind.Overloaded && got.Failure.Answer().Truth == errkind.NotRun, "%v", got.Failure)
}

// The body of an answer to a host with a slow link is paced as well, and taken when it is late.
// Until it has room in memory none of it comes; a short one does not wait for that room.
func TestLongAnswerToSlowHost(t *testing.T) {
	const long = 300_000
	h := startSlowHost(t)
	memory := held.New(heldmem.Limits{Total: 4 * long / 3, Over: 3 * long / 2, Bodies: long, Answers: long, Reading: long, Garbage: 1 << 40, Heap: 1, CutAfter: time.Second, GiveUp: 10 * time.Millisecond})
	client := NewClient(h.mesh, h.clock)
	client.SetLinkRoom(NewLinkRoom(slowMbps, h.mesh.BytesReceived, h.clock))
	client.UseMemory(memory)
	h.clock.step.Store(int64(10 * time.Millisecond))
	get := func(host ident.Host, size int) *Answer {
		fast, peer := startMesh(t, host, nil)
		fast.SetHandlers(noControl{}, NewServer(&fixedAnswer{make([]byte, size)}, &BodyBudget{}, h.clock, zap.NewNop()))
		return client.Send(context.Background(), peer, &Request{Key: NoKey, Deadline: h.clock.Now().Add(100 * time.Millisecond)})
	}
	a := get("c", long)
	assert.Assert(t, a.Failure == nil && len(a.Body) == long, "%v, %d bytes", a.Failure, len(a.Body))
	short := get("d", 20_000)
	assert.Assert(t, short.Failure == nil && len(short.Body) == 20_000, "%v, %d bytes", short.Failure, len(short.Body))
	full := get("e", long)
	assert.Assert(t, full.Failure != nil && full.Failure.Kind == errkind.AnswerCut && full.Failure.Answer().Truth == errkind.Unknown && full.ReachedBackend, "%v", full.Failure)
	a.Memory.Release()
	short.Memory.Release()
	eventuallyFree(t, memory)
}
