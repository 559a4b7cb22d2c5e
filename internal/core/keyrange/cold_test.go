package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A server that came back cold is idle and has few keys, so that it was given keys for balance,
// and those of leaving and of lost servers, faster than it tolerates requests. Once it is warm
// it gets its share; keys without an owner it gets always.
func TestColdServerReceivesNoKeysForBalance(t *testing.T) {
	const cold = 0
	now := ident.Instant(time.Hour)
	setUp := func(isCold bool) (*Agent, []Candidate) {
		a, cs := fleet(3, 2, 0, now)
		table := a.table
		for i, r := range table.Rows {
			if r.Owner == cs[cold].Owner {
				table.Rows[i].Owner = cs[1+i%2].Owner
			}
		}
		a.ApplyRead(table, a.nextOffset+1, now, now)
		a.HandleHeartbeat(Heartbeat{Instance: cs[2].Owner.Instance, Sequence: 1}, now)
		hotNeighbours(a, table.Rows[2].From, 200)
		cs[cold].Cold, cs[2].Utilization = isCold, 1.6
		return a, cs
	}
	receives := func(a *Agent, o Owner) bool {
		for _, g := range a.handoffs {
			if g.to == o {
				return true
			}
		}
		return false
	}
	for _, isCold := range []bool{true, false} {
		a, cs := setUp(isCold)
		a.shareSurplus(cs)
		assert.Equal(t, receives(a, cs[cold].Owner), !isCold, "as one with few keys")
		a, cs = setUp(isCold)
		a.handOffHotRanges(cs)
		assert.Equal(t, receives(a, cs[cold].Owner), !isCold, "as one with few requests")
		a, cs = setUp(isCold)
		cs[2].Limited, cs[2].LimitUse = true, 2
		a.handOffExcess(cs)
		assert.Equal(t, receives(a, cs[cold].Owner), !isCold, "from a limited server")
		a, cs = setUp(isCold)
		a.draining = true
		a.handOffAll(now, cs)
		assert.Equal(t, receives(a, cs[cold].Owner), !isCold, "from a leaving server")
		assert.Assert(t, a.assign(Table{}, []Span{{0, MaxKey}}, cs).KeyCount("host-000") > 0)
	}
	a, cs := fleet(3, 2, 1, now)
	cs[1].Cold = true
	w := a.takeOverSuspects(now.Add(time.Minute), 0, cs)
	assert.Equal(t, w.Table.KeyCount("host-001"), a.table.KeyCount("host-001"))
}
