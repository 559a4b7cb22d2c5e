package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// chainResult is what callers of a route get whose server makes a call for each request, in
// seconds 10 to 30 and 40 to 60.
type chainResult struct {
	whole, failed, refused float64
	wholeAfter, askedAfter float64
	longestWait            time.Duration
}

// replayChains replays 40 requests a second of 120 ms with a call each. From 10 s to 30 s the
// servers of the calls accept callsPerSecond; before and afterwards any number. A tenth as many
// callers as requests ask for another route by way of the same host, and fail whenever calls do.
func replayChains(c *admission.Chains, seed uint64, callsPerSecond float64, failsItself bool) (r chainResult) {
	random := rand.New(rand.NewPCG(seed, 3))
	type run struct {
		id   admission.RunID
		end  time.Duration
		lost bool
	}
	var running []run
	tokens := 0.0
	for at := time.Duration(0); at < 60*time.Second; at += time.Millisecond {
		now := ident.Instant(time.Hour).Add(at)
		trouble := at >= 10*time.Second && at < 30*time.Second
		tokens = min(tokens+callsPerSecond/1000, 2)
		for len(running) > 0 && running[0].end <= at {
			whole := !running[0].lost
			end := admission.RunWhole
			if !whole {
				end = admission.RunFailed
			}
			c.EndRun(running[0].id, end, now)
			switch {
			case trouble && whole:
				r.whole++
			case trouble:
				r.failed++
			case whole && at >= 40*time.Second:
				r.wholeAfter++
			}
			running = running[1:]
		}
		if random.Float64() < 0.004 {
			c.EndCall(c.BeginCall("other", now.Add(4*time.Second)), trouble, now)
		}
		if random.Float64() >= 0.04 {
			continue
		}
		if at >= 40*time.Second {
			r.askedAfter++
		}
		ok, wait := c.Admit("post", now)
		if !ok {
			r.refused++
			r.longestWait = max(r.longestWait, wait)
			continue
		}
		next := run{id: c.BeginRun("post", now.Add(2*time.Second), now), end: at + 120*time.Millisecond}
		call := c.BeginCall("index", now.Add(250*time.Millisecond))
		served := !trouble || tokens >= 1
		if trouble && served {
			tokens--
		}
		c.EndCall(call, !served && !failsItself, now)
		next.lost = !served
		running = append(running, next)
	}
	return r
}

// When calls found no room, their parents ran all the same and failed after their work.
func TestRequestsWhoseCallsHaveNoRoomAreRefused(t *testing.T) {
	for seed := range uint64(3) {
		r := replayChains(admission.NewChains(), seed, 12, false)
		t.Logf("served %v, failed after their work %v, refused %v with a wait of %v at most; afterwards served %v of %v", r.whole, r.failed, r.refused, r.longestWait, r.wholeAfter, r.askedAfter)
		assert.Assert(t, r.whole >= 0.9*12*20, "the room of the calls is used")
		assert.Assert(t, r.failed <= 1.3*r.whole)
		assert.Assert(t, r.wholeAfter >= 0.97*r.askedAfter, "it recovers")
		assert.Assert(t, r.longestWait <= 5*time.Second && r.longestWait >= 500*time.Millisecond)
		none := replayChains(admission.NewChains(), seed, 0, false)
		assert.Assert(t, none.wholeAfter >= 0.97*none.askedAfter, "%+v", none)
		assert.Assert(t, none.failed >= 0.2*20*40 && none.failed <= 0.5*20*40, "about a quarter begins: %+v", none)
	}
}

// A server that fails requests itself, while its calls are answered, is not limited, nor is a
// route whose calls are lost less than half of the time.
func TestOtherFailuresLimitNoRoute(t *testing.T) {
	assert.Equal(t, replayChains(admission.NewChains(), 1, 4, true).refused, 0.0)
	assert.Equal(t, replayChains(admission.NewChains(), 1, 30, false).refused, 0.0)
}

// A route's own servers take one request of five or refuse most of what they get themselves,
// and a quarter of the calls have no room: with its calls, less than half of a route is lost.
func TestWhatTheRoutesOwnServersRefuseDoesNotCount(t *testing.T) {
	for _, c := range []struct{ begins, void int }{{5, 0}, {1, 5}} { // of how many one begins, and one is not void
		chains, random := admission.NewChains(), rand.New(rand.NewPCG(1, 5))
		now, refused := ident.Instant(time.Hour), 0
		for i := range 3000 {
			now = now.Add(4 * time.Millisecond)
			if ok, _ := chains.Admit("post", now); !ok {
				refused++
			}
			if i%c.begins > 0 {
				continue
			}
			id, end, lost := chains.BeginRun("post", now.Add(2*time.Second), now), admission.RunWhole, random.IntN(4) == 0
			if lost {
				end = admission.RunFailed
			}
			chains.EndCall(chains.BeginCall("index", now.Add(250*time.Millisecond)), lost, now)
			if c.void > 0 && i%c.void > 0 {
				end = admission.RunVoid
			}
			chains.EndRun(id, end, now)
		}
		assert.Equal(t, refused, 0, "%+v", c)
	}
}
