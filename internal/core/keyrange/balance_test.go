package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// hotNeighbours is the load of a hot set: many requests on keys that lie close
// together, all with one owner.
func hotNeighbours(a *Agent, from Key, keys int) {
	for i := range 2000 {
		a.RecordServiceTime(from+Key(i%keys), 50*time.Millisecond)
	}
	for k := 0; k <= int(MaxKey); k += 512 {
		a.RecordServiceTime(Key(k), 50*time.Millisecond)
	}
}

// Load pattern: 200 neighbouring keys get most of the requests. Their owner deals
// them out to several servers in one move, and keeps a part.
func TestHotNeighboursAreDealtOut(t *testing.T) {
	owners := []Owner{owner("a"), owner("b"), owner("c"), owner("d")}
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), owners[0].Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: owners[0], Fence: 1}}}, 1, now, now)
	now = now.Add(time.Minute)
	agent.ApplyRead(agent.table, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: owners[0].Instance, Sequence: 1}, now)
	hotNeighbours(agent, 30000, 200)
	cs := []Candidate{candidate(owners[0]), candidate(owners[1]), candidate(owners[2]), candidate(owners[3])}
	cs[0].Utilization, cs[1].Utilization, cs[2].Utilization, cs[3].Utilization = 1.6, 0.1, 0.2, 0.3

	assert.Assert(t, agent.relieve(cs))
	receivers := map[ident.Host]float64{}
	_, total := agent.hotBuckets()
	for _, g := range agent.gifts {
		receivers[g.to.Member.Host] += 1.6 * agent.load.of(g.Span) / total
	}
	assert.Assert(t, len(receivers) >= 2, "all went to one server: %v", receivers)
	left := 1.6
	for h, use := range receivers {
		assert.Assert(t, use < 0.95, "%s is given %.2f of its slots", h, use)
		left -= use
	}
	assert.Assert(t, left < 1, "the owner keeps %.2f", left)
}

// A server with free slots gives nothing away, whatever its neighbours do.
func TestNothingMovesWithoutNeed(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	hotNeighbours(agent, 100, 60)
	cs := []Candidate{candidate(a), candidate(b)}
	cs[0].Utilization = 0.8
	assert.Assert(t, !agent.relieve(cs))
	assert.Equal(t, len(agent.gifts), 0)
}

// Relief goes on for as long as it helps, but no owner ends up with more rows than
// the answer to a heartbeat can carry.
func TestRowsOfAnOwnerAreBounded(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	cs := []Candidate{candidate(a), candidate(b)}
	cs[0].Utilization = 3
	for round := range 100 {
		hotNeighbours(agent, Key(round*640), 200)
		agent.relieve(cs)
		table := agent.table
		for _, g := range agent.gifts {
			table = table.with(Row{Span: g.Span, Owner: g.to, Fence: uint64(round) + 2, TransferToken: "0123456789abcdef"})
		}
		agent.gifts = nil
		agent.ApplyRead(table, ident.Offset(round+2), now, now)
		for _, o := range []Owner{a, b} {
			assert.Assert(t, agent.rowsOf(o) <= mostRows+1, "%s has %d rows", o.Member.Host, agent.rowsOf(o))
		}
	}
}
