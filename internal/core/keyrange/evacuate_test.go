package keyrange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A failure domain with 6 of 18 owners is evacuated. Each of them saw the same server as the
// least loaded one and handed all its rows to that, so that one got the keys of the domain. The
// load must spread over the rest by its room, no owner may get more rows than a grant lists,
// and once the domain is taken back its servers keep what is not handed off yet.
func TestEvacuatedDomainSpreadsItsLoad(t *testing.T) {
	const n, evacuated = 18, 6
	now := ident.Instant(time.Hour)
	received, rows := map[ident.Host]float64{}, map[ident.Host]int{}
	total := 0.0
	for self := range evacuated {
		a, cs := fleet(n, 2, 0, now)
		a.member = cs[self].Owner.Member
		a.HandleHeartbeat(Heartbeat{Instance: cs[self].Owner.Instance, Sequence: 1}, now)
		for i := range cs {
			cs[i].Evacuated, cs[i].Utilization = i < evacuated, 0.5
		}
		cs[n-1].Utilization, cs[n-2].Cold = 0.8, true
		hotNeighbours(a, a.table.Rows[self].From, 1000)
		kept := a.table.KeyCount(a.member.Host)
		a.Tick(now, cs)
		for _, g := range a.handoffs {
			load := a.load.sumOver(g.Span)
			received[g.to.Member.Host] += load
			rows[g.to.Member.Host]++
			total += load
			kept -= g.Len()
		}
		assert.Equal(t, kept, 0, "keys that stay")
		cs[self].Evacuated = false
		a.Tick(now, cs)
		assert.Assert(t, a.keepsServing(now))
	}
	fair := total / (n - evacuated - 1)
	for i := range n {
		h := ident.Host(fmt.Sprintf("host-%03d", i))
		switch {
		case i < evacuated || i == n-2:
			assert.Equal(t, rows[h], 0, "%s is evacuated or cold", h)
		case i == n-1:
			assert.Assert(t, received[h] < 0.6*fair, "%s has little room and gets %.2f of the fair load", h, received[h]/fair)
		default:
			assert.Assert(t, received[h] > 0.6*fair && received[h] < 1.5*fair, "%s gets %.2f of the fair load", h, received[h]/fair)
		}
		assert.Assert(t, rows[h]+2 <= maxRowsPerOwner, "%s gets %d rows", h, rows[h])
	}
}

// Two thirds of 117 owners are evacuated at once: the table and the grants must stay within
// their bounds.
func TestEvacuationOfManyOwnersKeepsTableSmall(t *testing.T) {
	const n, evacuated = 117, 78
	now := ident.Instant(time.Hour)
	all, rows := 0, map[ident.Host]int{}
	for self := range evacuated {
		a, cs := fleet(n, 2, 0, now)
		a.member = cs[self].Owner.Member
		a.HandleHeartbeat(Heartbeat{Instance: cs[self].Owner.Instance, Sequence: 1}, now)
		for i := range cs {
			cs[i].Evacuated = i < evacuated
		}
		a.Tick(now, cs)
		for _, g := range a.handoffs {
			rows[g.to.Member.Host]++
			all++
		}
	}
	assert.Assert(t, all <= 2*maxDividedTable, "%d rows", all)
	assert.Equal(t, len(rows), n-evacuated)
	for h, r := range rows {
		assert.Assert(t, r+2 <= maxRowsPerOwner, "%s gets %d rows", h, r)
	}
}

// If every domain with servers is evacuated, the keys stay where they are: nobody else can
// take them.
func TestEvacuationOfAllServersMovesNothing(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, cs := fleet(3, 1, 0, now)
	a.HandleHeartbeat(Heartbeat{Instance: cs[2].Owner.Instance, Sequence: 1}, now)
	for i := range cs {
		cs[i].Evacuated = true
	}
	assert.Assert(t, a.Tick(now, cs) == nil)
	assert.Equal(t, len(a.handoffs), 0)
}
