package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// replayFailingCalls replays 20 s of requests that take 90 ms and make two calls of 20 ms at
// once. failure returns the answer to a call that fails, nil for one that is answered; a request
// fails with either of its calls. It returns the share of the requests after the first 5 s that
// were refused before they began.
func replayFailingCalls(failure func(random *rand.Rand) *hop.Answer) float64 {
	const begin, answered, end, calls = 3, 5, 9, 2 // steps of 10 ms
	type run struct {
		started int
		calls   [calls]*hop.Request
		failed  bool
		end     func(*hop.Answer)
	}
	clock := &manualClock{now: ident.Instant(time.Hour)}
	c := newChains(clock)
	choose := chainChooser{sentOnly{}, c}
	random := rand.New(rand.NewPCG(1, 7))
	var running []*run
	asked, refused := 0.0, 0.0
	for step := range 2000 {
		clock.now = clock.now.Add(10 * time.Millisecond)
		for _, r := range running {
			switch step - r.started {
			case begin:
				for i := range r.calls {
					r.calls[i] = &hop.Request{Route: "check", Deadline: clock.now.Add(250 * time.Millisecond)}
					choose.RecordSent(edge.Target{}, r.calls[i])
				}
			case answered:
				for _, call := range r.calls {
					a := failure(random)
					r.failed = r.failed || a != nil
					if a == nil {
						a = &hop.Answer{Status: 200}
					}
					choose.RecordAnswer(edge.Target{}, call, a, 20*time.Millisecond)
				}
			case end:
				r.end(&hop.Answer{Status: map[bool]int{false: 200, true: 500}[r.failed]})
			}
		}
		for len(running) > 0 && step-running[0].started >= end {
			running = running[1:]
		}
		parent := &hop.Request{Route: "lookup", Deadline: clock.now.Add(3 * time.Second)}
		if step >= 500 {
			asked++
		}
		if c.admit(parent) != nil {
			if step >= 500 {
				refused++
			}
			continue
		}
		running = append(running, &run{started: step, end: c.beginRun(parent)})
	}
	return refused / asked
}

// The servers of a call refuse 0.4 of what they get, whatever their load. Two thirds of its
// parents fail for it, and fewer parents would fail as often; they were limited to a quarter.
// So they were for a lost region and a bad server.
func TestFailuresThatFewerRequestsDoNotMendLimitNone(t *testing.T) {
	failed := func(share float64, a func() *hop.Answer) func(*rand.Rand) *hop.Answer {
		return func(random *rand.Rand) *hop.Answer {
			if random.Float64() < share {
				return a()
			}
			return nil
		}
	}
	kind := func(k errkind.Kind) func() *hop.Answer {
		return func() *hop.Answer { return hop.FailedAnswer(errkind.New(k, "for the test")) }
	}
	for _, k := range []errkind.Kind{errkind.BackendRefused, errkind.PeerUnreachable, errkind.NoRoute, errkind.BackendUnavailable, errkind.DeadlineAfterStart, errkind.OutcomeUnknown} {
		assert.Equal(t, replayFailingCalls(failed(0.4, kind(k))), 0.0, "%s", k)
	}
	assert.Equal(t, replayFailingCalls(failed(0.4, func() *hop.Answer { return &hop.Answer{Status: 500} })), 0.0)
	for _, k := range []errkind.Kind{errkind.Overloaded, errkind.DeadlineBeforeStart, errkind.CallsWithoutRoom} {
		assert.Assert(t, replayFailingCalls(failed(0.4, kind(k))) > 0.4, "%s", k)
	}
	slow, broken := hop.FailedAnswer(errkind.New(errkind.OutcomeUnknown, "timeout")), hop.FailedAnswer(errkind.New(errkind.OutcomeUnknown, "reset"))
	slow.Load.Slots, broken.Load.Slots = 6, 6
	assert.Assert(t, foundNoRoom(slow, 245*time.Millisecond, 5*time.Millisecond))
	assert.Assert(t, !foundNoRoom(broken, 20*time.Millisecond, 230*time.Millisecond), "a server that breaks its connections")
}
