package forward_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/metering"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// statements returns one usage statement per node, over the usage that the node
// recorded.
func (c *cluster) statements() []usage.Statement {
	var statements []usage.Statement
	for _, n := range c.nodes {
		meter := metering.NewMeter("r")
		for _, u := range n.usage {
			meter.Record(u)
		}
		statements = append(statements, usage.Statement{Member: member(n.index), Region: "r", Lines: meter.TakeLines()})
	}
	return statements
}

// checkUsage checks the usage statements of all nodes. Their total, except for the
// slot time, must equal want. For each hop, given as sender and receiver, both ends
// must have counted the given requests and bytes.
func (c *cluster) checkUsage(t *testing.T, want usage.Total, hops map[[2]int]usage.HopCounts) {
	t.Helper()
	statements := c.statements()
	totals := usage.SumTotals(statements)
	assert.Equal(t, len(totals), 1)
	want.Tenant, want.Region, want.SlotMillis = "t", "r", totals[0].SlotMillis
	assert.DeepEqual(t, totals[0], want)
	pairs := usage.ReconcileMembers(statements)
	assert.Equal(t, len(pairs), len(hops), "%+v", pairs)
	for hop, counts := range hops {
		for _, p := range pairs {
			if p.From == member(hop[0]) && p.To == member(hop[1]) {
				assert.Equal(t, p.Sent, counts)
				assert.Equal(t, p.Received, counts)
			}
		}
	}
	assert.Equal(t, usage.UnreconciledRatio(pairs, usage.ReconcileRegions(statements)), 0.0)
}

// body1000 returns a body of 1000 bytes.
func body1000() []byte { return []byte(strings.Repeat("x", 1000)) }

func TestBothEndsOfAHopCountTheSame(t *testing.T) {
	c := newCluster(2)
	_, _, err := c.do(1, c.request("a", "keyed", body1000()))
	assert.NilError(t, err)
	c.checkUsage(t, usage.Total{Service: "keyed", Requests: 1, Executed: 1, BytesIn: 1000, BytesOut: 1000},
		map[[2]int]usage.HopCounts{{1, 0}: {Requests: 1, BytesIn: 1000, BytesOut: 1000}})
	ran := false
	for _, u := range c.nodes[0].usage {
		ran = ran || u.Executed && u.SlotTime > 0
	}
	assert.Assert(t, ran)
}

// A request that a daemon with a stale table forwards to a daemon that is not the
// owner makes two hops, and both ends of each hop count it.
func TestSecondHopCountsAtEachEnd(t *testing.T) {
	c := newCluster(3)
	c.nodes[2].tableTargets = []int{1}
	_, _, err := c.do(2, c.request("a", "keyed", body1000()))
	assert.NilError(t, err)
	counts := usage.HopCounts{Requests: 1, BytesIn: 1000, BytesOut: 1000}
	c.checkUsage(t, usage.Total{Service: "keyed", Requests: 1, Executed: 1, BytesIn: 2000, BytesOut: 2000},
		map[[2]int]usage.HopCounts{{2, 1}: counts, {1, 0}: counts})
}

// A refused request counts as one refusal, wherever it is refused.
func TestRefusalCountsOnce(t *testing.T) {
	refusal := usage.Total{Service: "keyed", Requests: 1, Refusals: 1}
	t.Run("without a key", func(t *testing.T) {
		c := newCluster(2)
		r := c.request("a", "keyed", nil)
		r.URI = "/keyed"
		_, _, err := c.do(1, r)
		assert.Equal(t, errkind.Of(err), errkind.KeyMissing)
		c.checkUsage(t, refusal, nil)
	})
	t.Run("at the entry after retries", func(t *testing.T) {
		c := newCluster(1)
		c.owner = -1
		r := c.request("a", "keyed", nil)
		r.Deadline = r.Arrived.Add(100 * time.Millisecond)
		_, _, err := c.do(0, r)
		assert.Equal(t, truth(err), errkind.NotRun)
		c.checkUsage(t, refusal, nil)
	})
	t.Run("no time left to forward", func(t *testing.T) {
		c := newCluster(2)
		r := c.request("a", "keyed", nil)
		r.Deadline = r.Arrived.Add(900 * time.Microsecond)
		_, _, err := c.do(1, r)
		assert.Equal(t, truth(err), errkind.NotRun)
		c.checkUsage(t, refusal, nil)
	})
	t.Run("by a peer without time", func(t *testing.T) {
		c := newCluster(2)
		c.nodes[0].backend = func(context.Context, *pipeline.Request) (*pipeline.Response, error) {
			return nil, errkind.New(errkind.DeadlineBeforeStart, "shed")
		}
		_, _, err := c.do(1, c.request("a", "keyed", nil))
		assert.Equal(t, truth(err), errkind.NotRun)
		c.checkUsage(t, refusal, map[[2]int]usage.HopCounts{{1, 0}: {Requests: 1}})
	})
}

// TestEachRunCounts checks that a request whose first run fails with an unknown
// outcome and is repeated counts as one request and two runs.
func TestEachRunCounts(t *testing.T) {
	c := newCluster(1)
	runs := 0
	c.nodes[0].backend = func(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error) {
		if runs++; runs == 1 {
			return nil, errkind.New(errkind.OutcomeUnknown, "broken")
		}
		return c.nodes[0].run(ctx, r)
	}
	_, _, err := c.do(0, c.request("a", "repeatable", nil))
	assert.NilError(t, err)
	c.checkUsage(t, usage.Total{Service: "repeatable", Requests: 1, Executed: uint64(runs)}, nil)
	assert.Equal(t, runs, 2)
	assert.Equal(t, c.nodes[0].usage[0].Peer, ident.Member{})
}
