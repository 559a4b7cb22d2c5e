package admitting_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// steppedClock is a clock that a test advances.
type steppedClock struct{ now ident.Instant }

func (c *steppedClock) Now() ident.Instant { return c.now }

// fillGate runs batches of up to eight requests at once at a server that slows down beyond four
// of them, and returns how many of eight further requests start.
func fillGate(t *testing.T, learn bool) int {
	clock := &steppedClock{now: ident.Instant(time.Hour)}
	g := admitting.NewGate(admission.DefaultConfig(8), clock)
	if learn {
		g.LearnRoom()
	}
	g.SetSlots(8, 0)
	ctx, leave := context.WithCancel(context.Background())
	leave() // a request that would have to wait leaves
	admit := func() (func(time.Duration), error) {
		return g.Admit(ctx, admission.Arrival{Class: "a", Deadline: clock.now.Add(time.Minute)})
	}
	for round := range 160 {
		var releases []func(time.Duration)
		for range 1 + round%8 {
			if release, err := admit(); err == nil {
				releases = append(releases, release)
			}
		}
		took := 5 * time.Millisecond
		if n := time.Duration(len(releases)); n > 4 {
			took = took * n * n / 16
		}
		clock.now = clock.now.Add(took)
		for _, release := range releases {
			release(took)
		}
		g.SetSlots(8, 0)
	}
	started := 0
	for range 8 {
		if release, err := admit(); err == nil {
			defer release(0)
			started++
		}
	}
	requests, pace := g.Room()
	assert.Equal(t, requests > 0 && pace > 0, learn)
	return started
}

// A server that gets less done with all of its slots was given all of them.
func TestGateStartsWhatTheServerTakesWell(t *testing.T) {
	n := fillGate(t, true)
	assert.Assert(t, n >= 4 && n <= 5, "%d start", n)
	assert.Equal(t, fillGate(t, false), 8)
}
