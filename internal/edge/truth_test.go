package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// What is known not to have run was told as unknown, status 502, if its kind leaves the
// outcome open: canceled before the hand-over, or unreadable for the peer.
func TestCertainlyNotRunIsToldAsSuch(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.Canceled, errkind.PeerProtocol, errkind.Internal} {
		for _, truth := range []errkind.Truth{errkind.NotRun, errkind.Unknown} {
			s := &failingServer{failure: func(int) *errkind.Error { return &errkind.Error{Kind: kind, Truth: truth} }}
			a := serve(newTestDispatcher(s, 0), false)
			status, got := statusOf(a.Failure)
			assert.Equal(t, got, truth, "%v", kind)
			assert.Equal(t, status == 503, truth == errkind.NotRun, "%v: %d", kind, status)
		}
	}
}

// farOwner chooses a server on another host, with the given least times.
type farOwner struct {
	oneOwner
	way, service time.Duration
}

func (farOwner) ChooseTarget(*hop.Request, []ident.Host) (Target, bool, *errkind.Error) {
	return Target{}, false, nil
}

func (o farOwner) LeastTime(Target, *hop.Request) (way, service time.Duration) {
	return o.way, o.service
}

// busyPeer implements Sender: a request waits at the peer for a slot until its deadline, and
// the refusal takes half of the way back.
type busyPeer struct {
	way  time.Duration
	sent int
}

func (p *busyPeer) Send(ctx context.Context, _ mesh.Peer, r *hop.Request) *hop.Answer {
	p.sent++
	left := r.TimeLeft(realClock{}.Now()) // travels as time left, and counts from its arrival
	select {
	case <-time.After(p.way/2 + left + p.way/2):
		return hop.FailedAnswer(errkind.New(errkind.DeadlineBeforeStart, "waited for a slot"))
	case <-ctx.Done():
		return hop.FailedAnswer(errkind.New(errkind.DeadlineAfterStart, "no answer"))
	}
}

// serveRemotely sends one request that may take the given time to a busy peer.
func serveRemotely(p *busyPeer, service, wait time.Duration) *hop.Answer {
	d := NewDispatcher("h", farOwner{way: p.way, service: service}, nil, p, Budget{Window: time.Second}, noMetrics{}, realClock{}, zap.NewNop())
	route := &routes.Route{Name: "r", Shares: []routes.Share{{Service: "s", Weight: 1}}}
	r := &hop.Request{ID: "i", Key: 1, Deadline: realClock{}.Now().Add(wait)}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return d.Serve(ctx, r, route)
}

// A request waited at a peer until its deadline. The peer's refusal came after the caller's
// daemon had answered 504, outcome unknown.
func TestRefusalOfAPeerArrivesBeforeTheDeadline(t *testing.T) {
	a := serveRemotely(&busyPeer{way: 60 * time.Millisecond}, 0, time.Second)
	assert.Equal(t, a.Failure.Kind, errkind.DeadlineBeforeStart)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.NotRun)
}

// A request that no answer can reach in time is refused at once, with a delay that leaves its
// caller time for another try.
func TestWhatCannotBeAnsweredInTimeIsNotSent(t *testing.T) {
	p := &busyPeer{way: 60 * time.Millisecond}
	const wait = 300 * time.Millisecond
	a := serveRemotely(p, 250*time.Millisecond, wait)
	assert.Equal(t, p.sent, 0)
	assert.Equal(t, a.Failure.Kind, errkind.DeadlineBeforeStart)
	assert.Assert(t, a.Failure.RetryAfter > 0 && a.Failure.RetryAfter <= wait/3, "%v", a.Failure.RetryAfter)
	serveRemotely(p, 200*time.Millisecond, wait)
	assert.Equal(t, p.sent, 1)
}
