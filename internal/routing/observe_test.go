package routing_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
	"github.com/burdockfold/burdockfold/internal/routing"
)

var (
	self  = ident.Member{Host: "a", Incarnation: 1}
	owner = ident.Member{Host: "b", Incarnation: 1}
	next  = ident.Member{Host: "c", Incarnation: 1}
)

// log folds records into the table that the router reads.
type log struct {
	t     *testing.T
	state *ownership.State
	seq   uint64
}

func newLog(t *testing.T) *log {
	l := &log{t: t, state: ownership.NewState(control.NewConfigFold(nil))}
	for _, m := range []ident.Member{self, owner, next} {
		l.write(m, &record.MemberJoined{Member: m, MeshAddr: string(m.Host) + ":1", CallerAddr: "x:1", AdminAddr: "x:2"})
	}
	l.write(self, &record.LeaderElected{Term: 1, Leader: self})
	l.write(self, &record.GroupSet{Term: 1, Group: owner, Version: 1,
		Witnesses: []ident.Member{self, next, owner}, Successors: []ident.Member{next}})
	return l
}

func (l *log) write(w ident.Member, b record.Body) {
	l.seq++
	got := l.state.Apply(l.state.NextOffset(), record.Envelope{Version: record.Version, Writer: w, Seq: l.seq, Body: b})
	assert.Equal(l.t, got, ownership.Folded, "%T", b)
}

// Table implements routing.TableSource.
func (l *log) Table() *ownership.Table { return l.state.Table() }

type heldNone struct{}

// Holds implements routing.HeldGroups.
func (heldNone) Holds(ident.Member) bool { return false }

// silentPeer takes requests and answers none until their context ends.
type silentPeer struct{ taken chan struct{} }

// Forward implements pipeline.Peers.
func (p silentPeer) Forward(ctx context.Context, _ pipeline.Target, _ *pipeline.Request) (*pipeline.Response, error) {
	p.taken <- struct{}{}
	<-ctx.Done()
	return nil, errkind.New(errkind.Canceled, "%w", ctx.Err())
}

// forward sends a request to the silent owner and returns where its end arrives.
func forward(ctx context.Context, r *routing.Router, repeatable bool) (ended chan error) {
	p := silentPeer{taken: make(chan struct{}, 1)}
	ended = make(chan error, 1)
	q := &pipeline.Request{Service: config.Service{Name: "s"}, Repeatable: repeatable}
	go func() {
		_, err := r.ObservePeers(p).Forward(ctx, pipeline.Target{Member: owner}, q)
		ended <- err
	}()
	<-p.taken
	return ended
}

func TestWaitForLostMemberEndsWhenItsGroupIsClaimed(t *testing.T) {
	l := newLog(t)
	r := routing.New(self, "central", ident.NewMonotonicClock(), l, heldNone{})
	ctx, cancel := context.WithCancel(context.Background())
	repeatable := forward(ctx, r, true)
	once := forward(ctx, r, false)
	r.TableChanged()
	l.write(next, &record.GroupClaimed{Group: owner, Claimant: next, Claim: 2})
	r.TableChanged()

	err := <-repeatable
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	assert.Equal(t, errkind.As(err).Answer().Truth, errkind.Unknown)
	cancel()
	assert.Equal(t, errkind.Of(<-once), errkind.Canceled)
}

// answeringPeer answers with a body that reports its context.
type answeringPeer struct{ ctx context.Context }

// Forward implements pipeline.Peers.
func (p *answeringPeer) Forward(ctx context.Context, _ pipeline.Target, _ *pipeline.Request) (*pipeline.Response, error) {
	p.ctx = ctx
	return &pipeline.Response{Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

// An answer that has begun is not cut when its member is lost, and its context
// is released with its body.
func TestAnswerThatHasBegunIsNotCut(t *testing.T) {
	l := newLog(t)
	r := routing.New(self, "central", ident.NewMonotonicClock(), l, heldNone{})
	p := &answeringPeer{}
	q := &pipeline.Request{Repeatable: true, Deadline: ident.Instant(time.Hour)}
	resp, err := r.ObservePeers(p).Forward(context.Background(), pipeline.Target{Member: owner}, q)
	assert.NilError(t, err)
	l.write(next, &record.GroupClaimed{Group: owner, Claimant: next, Claim: 2})
	r.TableChanged()
	assert.NilError(t, p.ctx.Err())
	assert.NilError(t, resp.Body.Close())
	assert.ErrorIs(t, p.ctx.Err(), context.Canceled)
}
