package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// sentOnly is a chooser that finds a target for every request.
type sentOnly struct{ edge.Chooser }

func (sentOnly) ChooseTarget(*hop.Request, []ident.Host) (edge.Target, bool, *errkind.Error) {
	return edge.Target{}, true, nil
}
func (sentOnly) RecordSent(edge.Target, *hop.Request)                               {}
func (sentOnly) RecordAnswer(edge.Target, *hop.Request, *hop.Answer, time.Duration) {}

// Requests whose calls fail were run one after the other; now one is refused as not run, at
// once, and not sent to all other servers in turn, whose calls have no room either.
func TestRequestWithFailingCallsIsRefusedForGood(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	c := newChains(clock)
	choose := chainChooser{sentOnly{}, c}
	request := func(route string, left time.Duration) *hop.Request {
		return &hop.Request{Route: route, Deadline: clock.now.Add(left)}
	}
	var refused *errkind.Error
	for range 30 {
		parent, call := request("post", 2*time.Second), request("index", 250*time.Millisecond)
		if e := c.admit(parent); e != nil {
			refused = e
			continue
		}
		end := c.beginRun(parent)
		target, _, _ := choose.ChooseTarget(call, nil)
		choose.RecordSent(target, call)
		clock.now = clock.now.Add(20 * time.Millisecond)
		choose.RecordAnswer(target, call, hop.FailedAnswer(errkind.New(errkind.Overloaded, "no room")), 20*time.Millisecond)
		end(&hop.Answer{Status: 500})
	}
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Kind, errkind.CallsWithoutRoom)
	assert.Assert(t, refused.Answer().Truth == errkind.NotRun && refused.Answer().RetryAfter >= 500*time.Millisecond)
	f := retry.Failure{Kind: refused.Kind, Truth: errkind.NotRun, Point: retry.FailurePointOf(refused.Kind), BodyReplayable: true, UntriedTargets: true, Pooled: true, TimeLeft: time.Second}
	assert.Equal(t, retry.DefaultPolicy().Decide(f), retry.Decision(retry.RefuseNotRun{}))
	assert.Equal(t, len(c.calls), 0)
	assert.Assert(t, (*chains)(nil).admit(request("post", time.Second)) == nil, "off unless asked for")
}
