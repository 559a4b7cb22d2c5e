package leasing_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/leasing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

// mustHold waits until the node admits a request for the slice, and returns the
// epoch and the function that ends the request.
func mustHold(t *testing.T, n *node, s ident.Slice) (leasing.SliceGrant, func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	l, release, err := n.Hold(ctx, s)
	assert.NilError(t, err)
	return leasing.SliceGrant{Slice: s, Epoch: l.Epoch}, release
}

func TestMoveWaitsForRequestsInFlightAndTakesTheIdempotencyRecord(t *testing.T) {
	c := startCluster(t, 5)
	from, to, s := c.nodes[0], c.nodes[3], slice(0)
	before, release := mustHold(t, from, s)
	moved := make(chan error, 1) // one result
	go func() { moved <- from.MoveSlices(context.Background(), []ident.Slice{s}, to.self) }()
	waiting := make(chan error, 1) // one result
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for {
			_, done, err := from.Hold(ctx, s)
			if err != nil {
				waiting <- err
				return
			}
			done()
		}
	}()
	select {
	case err := <-moved:
		t.Fatalf("moved with a request in flight: %v", err)
	case err := <-waiting:
		t.Fatalf("refused during the move: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	release()
	assert.NilError(t, <-moved)
	assert.Equal(t, errkind.Of(<-waiting), errkind.NotOwner)
	after, done := mustHold(t, to, s)
	done()
	assert.Assert(t, after.Epoch > before.Epoch)
	data, err := to.ExportSlice(s)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "first")
}

func TestMoveWithLogDownLeavesTheSlices(t *testing.T) {
	c := startCluster(t, 5)
	c.setLogDown(true)
	err := c.nodes[0].MoveSlices(context.Background(), []ident.Slice{slice(0)}, c.nodes[3].self)
	assert.Equal(t, errkind.Of(err), errkind.LogUnavailable)
	_, done := mustHold(t, c.nodes[0], slice(0))
	done()
}

func TestTakeover(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		c := startCluster(t, 5)
		c.setLogDown(logDown)
		old, s := c.nodes[0], slice(0)
		ctx := context.Background()
		l, release, err := old.Hold(ctx, s)
		assert.NilError(t, err)
		release()
		c.isolate(old.self, true)
		c.waitUntil(func() bool { return c.canHold(c.nodes[1], s) || c.canHold(c.nodes[2], s) })
		_, _, err = old.Hold(ctx, s)
		assert.Equal(t, errkind.Of(err), errkind.LeaseLapsed)
		assert.Equal(t, errkind.Of(old.Check(s, l, old.clock.Now())), errkind.LeaseLapsed)
		c.setLogDown(false)
		c.waitUntil(func() bool {
			g, _ := c.nodes[4].Group(old.self)
			return g.Claim > 1 && g.Holder != old.self
		})
		c.isolate(old.self, false)
		g, _ := c.nodes[4].Group(old.self)
		next := c.nodes[g.Holder.Host[1]-'0']
		after, done := mustHold(t, next, s)
		done()
		assert.Assert(t, after.Epoch > l.Epoch)
		assert.NilError(t, next.MoveSlices(ctx, []ident.Slice{s}, next.self))
		moved, done := mustHold(t, next, s)
		done()
		assert.Assert(t, moved.Epoch > after.Epoch)
		for _, n := range c.nodes {
			n.stop()
		}
	}
}

func TestPausedHolderComparesTheClock(t *testing.T) {
	c := startCluster(t, 5)
	n, s := c.nodes[0], slice(0)
	ctx := context.Background()
	l, release, err := n.Hold(ctx, s)
	assert.NilError(t, err)
	defer release()
	assert.NilError(t, n.Check(s, l, n.clock.Now()))
	c.isolate(n.self, true)
	n.clock.jump.Store(int64(config.Lease.TTL))
	assert.Equal(t, errkind.Of(n.Check(s, l, n.clock.Now())), errkind.LeaseLapsed)
	_, _, err = n.Hold(ctx, s)
	assert.ErrorContains(t, err, "lease-lapsed")
}

func TestReleasedSliceIsSettledByTheClaimant(t *testing.T) {
	c := startCluster(t, 5)
	old, s := c.nodes[0], slice(0)
	c.waitUntil(func() bool { return c.canHold(old, s) })
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	c.refuseRecords(old.self)
	err := old.MoveSlices(ctx, []ident.Slice{s}, c.nodes[3].self)
	assert.Equal(t, errkind.Of(err), errkind.OutcomeUnknown)
	c.isolate(old.self, true)
	c.waitUntil(func() bool {
		info, _ := c.nodes[4].Slice(s)
		return info.Assignment == 2 && info.Group == old.self
	})
	c.waitUntil(func() bool { return c.canHold(c.nodes[1], s) || c.canHold(c.nodes[2], s) })
}

func TestDrainFollowsThePlan(t *testing.T) {
	c := startCluster(t, 5)
	n := c.nodes[0]
	c.mu.Lock()
	n.plan = []leasing.PlannedMove{{Slice: slice(0), From: n.self, To: member(4), PriorAssignment: 1}}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, n.Drain(ctx))
	_, done := mustHold(t, c.nodes[4], slice(0))
	done()
}

// Requests run on all daemons against a slice that moves back and forth. Only
// one daemon may have requests in flight on the slice at a time.
func TestMovesUnderLoadHaveOneOwner(t *testing.T) {
	c := startCluster(t, 5)
	s := slice(0)
	load := duty.NewGroup(context.Background())
	var running [5]atomic.Int64
	var overlaps, served atomic.Int64
	request := func(ctx context.Context, i int) {
		_, done, err := c.nodes[i].Hold(ctx, s)
		if err != nil {
			return
		}
		running[i].Add(1)
		time.Sleep(8 * time.Millisecond)
		for o := range running {
			if o != i && running[o].Load() > 0 {
				overlaps.Add(1)
			}
		}
		served.Add(1)
		running[i].Add(-1)
		done()
	}
	for i := range c.nodes {
		load.Go("load", func(ctx context.Context) error {
			for ctx.Err() == nil {
				request(ctx, i)
				time.Sleep(time.Millisecond)
			}
			return nil
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i := range 60 {
		from, to := c.nodes[3*(i%2)], c.nodes[3*((i+1)%2)]
		c.waitUntil(func() bool { return c.canHold(from, s) })
		time.Sleep(time.Duration(i) * time.Millisecond / 3) // starts each move at another phase of the load
		assert.NilError(t, from.MoveSlices(ctx, []ident.Slice{s}, to.self))
	}
	load.Stop()
	assert.NilError(t, load.Wait())
	assert.Equal(t, overlaps.Load(), int64(0))
	assert.Assert(t, served.Load() > 0)
}

// The TTL is longer than the test waits, so that a lapsed lease cannot explain
// the takeover.
func TestResignWithLogDownNeedsNoLapse(t *testing.T) {
	long := config
	long.Lease.TTL = 20 * testTimeout
	c := startClusterWith(t, 5, long)
	c.setLogDown(true)
	old, next, s := c.nodes[0], c.nodes[1], slice(0)
	before, release := mustHold(t, old, s)
	release()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, old.ResignGroups(ctx))
	c.waitUntil(func() bool { return c.canHold(next, s) })
	after, done := mustHold(t, next, s)
	done()
	assert.Assert(t, after.Epoch > before.Epoch)
	assert.Equal(t, after.Epoch.Assignment(), before.Epoch.Assignment())
	data, err := next.ExportSlice(s)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "first")
	_, _, err = old.Hold(ctx, s)
	assert.Equal(t, errkind.Of(err), errkind.LeaseLapsed)
}

func TestWaitingRequestsAreBounded(t *testing.T) {
	c := startCluster(t, 5)
	n, s := c.nodes[0], slice(0)
	_, release := mustHold(t, n, s)
	ctx, cancel := context.WithCancel(context.Background())
	moved := make(chan error, 1) // one result
	go func() { moved <- n.MoveSlices(ctx, []ident.Slice{s}, c.nodes[3].self) }()
	results := make(chan error, 1000) // one result per request; enough for all requests
	c.waitUntil(func() bool {
		go func() {
			_, done, err := n.Hold(ctx, s)
			if err == nil {
				done()
			}
			results <- err
		}()
		select {
		case err := <-results:
			return err != nil && errkind.Of(err) == errkind.Overloaded
		case <-time.After(5 * time.Millisecond):
			return false
		}
	})
	cancel()
	assert.Equal(t, errkind.Of(<-moved), errkind.DeadlineBeforeStart)
	release()
	c.waitUntil(func() bool { return c.canHold(n, s) })
}
