package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ownerOfHalf returns the agent of the first of the owners, which owns the lower half of
// the keys; the second owns the upper half.
func ownerOfHalf(owners []Owner) *Agent {
	now := ident.Instant(time.Hour)
	a := NewAgent(testConfig(), owners[0].Member, now)
	half := MaxKey / 2
	a.ApplyRead(Table{Rows: []Row{{Span: Span{0, half}, Owner: owners[0], Fence: 1}, {Span: Span{half + 1, MaxKey}, Owner: owners[1], Fence: 1}}}, 1, now, now)
	a.HandleHeartbeat(Heartbeat{Instance: owners[0].Instance, Sequence: 1}, now)
	for k := 0; k <= int(half); k += 64 {
		a.RecordServiceTime(Key(k), 50*time.Millisecond)
	}
	return a
}

// Load pattern: the load of a server stays as it is, but the server names a limit of half of
// it. Its free slots make it look idle, so that it kept its keys and the excess was
// refused. It must hand off about the excess, to servers with room for it.
func TestLimitedServerHandsOffItsExcess(t *testing.T) {
	owners := []Owner{owner("a"), owner("b"), owner("c"), owner("d")}
	a := ownerOfHalf(owners)
	cs := []Candidate{candidate(owners[0]), candidate(owners[1]), candidate(owners[2]), candidate(owners[3])}
	cs[0].Limited, cs[0].LimitUse, cs[0].Utilization = true, 2, 0.1
	cs[1].Utilization = 0.9
	cs[2].Limited = true
	assert.Assert(t, a.handOffExcess(cs))
	_, total := a.rowsByDensity()
	moved := 0.0
	for _, g := range a.handoffs {
		assert.Equal(t, g.to, owners[3], "b is busy and c is limited")
		moved += a.load.sumOver(g.Span)
	}
	assert.Assert(t, moved > 0.5*total && moved < 0.7*total, "%.2f of the load moves", moved/total)
	assert.Assert(t, len(a.handoffs) <= 2, "%d ranges", len(a.handoffs))
}

// A limit that is above the load, or that all servers have, moves nothing.
func TestLimitAboveLoadMovesNothing(t *testing.T) {
	owners := []Owner{owner("a"), owner("b")}
	a := ownerOfHalf(owners)
	cs := []Candidate{candidate(owners[0]), candidate(owners[1])}
	cs[0].Limited, cs[0].LimitUse = true, 0.9
	assert.Assert(t, !a.handOffExcess(cs))
	cs[0].LimitUse, cs[1].Limited = 3, true
	assert.Assert(t, !a.handOffExcess(cs))
}

// A limited server with few keys and free slots must not receive keys: not for balance, not
// of a server that leaves, and none without an owner.
func TestLimitedServerReceivesNoKeys(t *testing.T) {
	owners := []Owner{owner("a"), owner("b"), owner("c")}
	a := ownerOfHalf(owners)
	cs := []Candidate{candidate(owners[0]), candidate(owners[1]), candidate(owners[2])}
	cs[2].Limited = true
	assert.Assert(t, !a.shareSurplus(cs))
	cs[0].Utilization, cs[1].Utilization = 3, 3
	assert.Assert(t, !a.handOffHotRanges(cs))
	to, ok := a.leastLoaded(cs)
	assert.Assert(t, ok)
	assert.Equal(t, to.Owner, owners[1])
	table := a.assign(Table{}, []Span{{0, MaxKey}}, cs)
	assert.Equal(t, table.KeyCount("c"), 0)

	cs[0].Limited, cs[1].Limited = true, true
	table = a.assign(Table{}, []Span{{0, MaxKey}}, cs)
	assert.Equal(t, len(table.Gaps()), 0, "if all servers are limited, keys need owners all the same")
}
