package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// Load pattern: requests wait for slots everywhere. Their waits must not pass for the way, by
// which the deadlines of all requests are shortened.
func TestWaitForASlotIsNoWay(t *testing.T) {
	c, _ := newRegionChooser()
	r := &hop.Request{Service: "p", Route: "r", Key: hop.NoKey}
	target, _, e := c.ChooseTarget(r, nil)
	assert.Assert(t, e == nil)
	answer := func(wait time.Duration, load hop.Load) time.Duration {
		for range 30 {
			c.RecordSent(target, r)
			a := &hop.Answer{Status: 200, ServiceTime: 50 * time.Millisecond, Load: load}
			c.RecordAnswer(target, r, a, 54*time.Millisecond+wait)
		}
		way, service := c.LeastTime(target, r)
		assert.Equal(t, service, 50*time.Millisecond)
		return way
	}
	assert.Equal(t, answer(300*time.Millisecond, hop.Load{Running: 6, Waiting: 2, Slots: 6}), time.Duration(0))
	assert.Equal(t, answer(0, hop.Load{Running: 3, Slots: 6}), 4*time.Millisecond)
	assert.Equal(t, answer(300*time.Millisecond, hop.Load{Running: 6, Slots: 6}), 4*time.Millisecond)
}

// The daemon beside the best server refuses requests for their calls, which all servers of the
// service make alike; it was left as if its server failed, also by routes without calls.
func TestRefusalForCallsSaysNothingOfTheServer(t *testing.T) {
	for _, k := range []errkind.Kind{errkind.CallsWithoutRoom, errkind.BackendUnavailable} {
		c, _ := newRegionChooser()
		r := &hop.Request{Service: "p", Route: "r", Key: hop.NoKey}
		target, _, e := c.ChooseTarget(r, nil)
		assert.Assert(t, e == nil)
		c.RecordSent(target, r)
		c.RecordAnswer(target, r, &hop.Answer{Status: 200, Body: make([]byte, 4000), ServiceTime: time.Millisecond}, time.Millisecond)
		for range 100 {
			c.RecordSent(target, r)
			c.RecordAnswer(target, r, hop.FailedAnswer(errkind.New(k, "for the test")), time.Millisecond)
		}
		chosen := 0
		options := []balance.Option{{Host: target.Peer.Member.Host, Slots: 6}, {Host: "new", Slots: 6}}
		for range 100 {
			if c.estimator.Best(c.clock.Now(), c.rng, balance.Demand{Choosers: 1}, options) == 0 {
				chosen++
			}
		}
		assert.Equal(t, chosen > 25, k == errkind.CallsWithoutRoom, "%s: chosen %d of 100", k, chosen)
	}
}
