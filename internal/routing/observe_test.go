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

// foldedLog folds records into the ownership table that the router reads.
type foldedLog struct {
	t     *testing.T
	state *ownership.State
	seq   uint64
}

func newFoldedLog(t *testing.T) *foldedLog {
	l := &foldedLog{t: t, state: ownership.NewState(control.NewConfigFold(nil))}
	for _, m := range []ident.Member{self, owner, next} {
		l.write(m, &record.MemberJoined{Member: m, MeshAddr: string(m.Host) + ":1", CallerAddr: "x:1", AdminAddr: "x:2"})
	}
	l.write(self, &record.LeaderElected{Term: 1, Leader: self})
	l.write(self, &record.GroupSet{Term: 1, Group: owner, Version: 1,
		Witnesses: []ident.Member{self, next, owner}, Successors: []ident.Member{next}})
	return l
}

func (l *foldedLog) write(writer ident.Member, body record.Body) {
	l.seq++
	result := l.state.Apply(l.state.NextOffset(), record.Envelope{Version: record.Version, Writer: writer, Seq: l.seq, Body: body})
	assert.Equal(l.t, result, ownership.Folded, "%T", body)
}

// Table implements routing.TableSource.
func (l *foldedLog) Table() *ownership.Table { return l.state.Table() }

type noHeldGroups struct{}

// Holds implements routing.HeldGroups.
func (noHeldGroups) Holds(ident.Member) bool { return false }

// silentPeer receives requests and fails each one only when its context ends.
type silentPeer struct{ received chan struct{} }

// Forward implements pipeline.Peers.
func (p silentPeer) Forward(ctx context.Context, _ pipeline.Target, _ *pipeline.Request) (*pipeline.Response, error) {
	p.received <- struct{}{}
	<-ctx.Done()
	return nil, errkind.New(errkind.Canceled, "%w", ctx.Err())
}

// forward sends a request to an owner that does not answer. The returned channel
// delivers the error that ends the request.
func forward(ctx context.Context, r *routing.Router, repeatable bool) (ended chan error) {
	p := silentPeer{received: make(chan struct{}, 1)}
	ended = make(chan error, 1)
	q := &pipeline.Request{Service: config.Service{Name: "s"}, Repeatable: repeatable}
	go func() {
		_, err := r.ObservePeers(p).Forward(ctx, pipeline.Target{Member: owner}, q)
		ended <- err
	}()
	<-p.received
	return ended
}

// A repeatable request ends with an unknown outcome once another member claims the
// group of its target. A request that is not repeatable keeps waiting until its
// context ends.
func TestWaitForLostMemberEndsWhenItsGroupIsClaimed(t *testing.T) {
	l := newFoldedLog(t)
	r := routing.New(self, "central", ident.NewMonotonicClock(), l, noHeldGroups{})
	ctx, cancel := context.WithCancel(context.Background())
	repeatable := forward(ctx, r, true)
	nonRepeatable := forward(ctx, r, false)
	r.TableChanged()
	l.write(next, &record.GroupClaimed{Group: owner, Claimant: next, Claim: 2})
	r.TableChanged()

	err := <-repeatable
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	assert.Equal(t, errkind.As(err).Answer().Truth, errkind.Unknown)
	cancel()
	assert.Equal(t, errkind.Of(<-nonRepeatable), errkind.Canceled)
}

// answeringPeer answers at once and keeps the context of the request.
type answeringPeer struct{ ctx context.Context }

// Forward implements pipeline.Peers.
func (p *answeringPeer) Forward(ctx context.Context, _ pipeline.Target, _ *pipeline.Request) (*pipeline.Response, error) {
	p.ctx = ctx
	return &pipeline.Response{Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

// An answer that has begun is not cut when its member is lost, and closing its body
// cancels the context of the request.
func TestAnswerThatHasBegunIsNotCut(t *testing.T) {
	l := newFoldedLog(t)
	r := routing.New(self, "central", ident.NewMonotonicClock(), l, noHeldGroups{})
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
