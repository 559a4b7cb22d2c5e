package keyrange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// hotNeighbours records the load of a hot set: many requests for keys that lie
// close together and have one owner.
func hotNeighbours(a *Agent, from Key, keys int) {
	for i := range 2000 {
		a.RecordServiceTime(from+Key(i%keys), 50*time.Millisecond)
	}
	for k := 0; k <= int(MaxKey); k += 512 {
		a.RecordServiceTime(Key(k), 50*time.Millisecond)
	}
}

// Load pattern: 200 neighbouring keys receive most of the requests. Their owner
// hands them off to several servers in one move and keeps a part.
func TestHotNeighboursAreSpreadOverServers(t *testing.T) {
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

	assert.Assert(t, agent.handOffHotRanges(cs))
	receivers := map[ident.Host]float64{}
	total := agent.ownLoad()
	for _, g := range agent.handoffs {
		receivers[g.to.Member.Host] += 1.6 * agent.load.sumOver(g.Span) / total
	}
	assert.Assert(t, len(receivers) >= 2, "all went to one server: %v", receivers)
	left := 1.6
	for h, use := range receivers {
		assert.Assert(t, use < 0.95, "%s is given %.2f of its slots", h, use)
		left -= use
	}
	assert.Assert(t, left < 1, "the owner keeps %.2f", left)
}

// A server with free slots hands off nothing, whatever the load of the others.
func TestServerWithFreeSlotsKeepsItsKeys(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	hotNeighbours(agent, 100, 60)
	cs := []Candidate{candidate(a), candidate(b)}
	cs[0].Utilization = 0.8
	assert.Assert(t, !agent.handOffHotRanges(cs))
	assert.Equal(t, len(agent.handoffs), 0)
}

// Handoffs continue as long as they help, but no owner may end up with more rows
// than the answer to a heartbeat can carry.
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
		agent.handOffHotRanges(cs)
		table := agent.table
		for _, g := range agent.handoffs {
			table = table.withRow(Row{Span: g.Span, Owner: g.to, Fence: uint64(round) + 2, TransferToken: "0123456789abcdef"})
		}
		agent.handoffs = nil
		agent.ApplyRead(table, ident.Offset(round+2), now, now)
		for _, o := range []Owner{a, b} {
			assert.Assert(t, agent.rowCount(o) <= maxRowsPerOwner+1, "%s has %d rows", o.Member.Host, agent.rowCount(o))
		}
	}
}

// Load pattern: more load than all servers together can serve. The busiest one keeps its
// keys, because everywhere else requests wait long as well.
func TestNothingMovesWhenAllServersAreOverloaded(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	hotNeighbours(agent, 100, 60)
	cs := []Candidate{candidate(a), candidate(b)}
	cs[0].Utilization, cs[1].Utilization = 5, 2
	assert.Assert(t, !agent.handOffHotRanges(cs))
	cs[1].Utilization = 1.2 // a short queue
	assert.Assert(t, agent.handOffHotRanges(cs))
}

// Load pattern: 53 servers hand keys off at the same time, and each write replaces the
// same record. With a delay after refusals, most of the writes are accepted in a second.
func TestConcurrentWritersSpreadTheirWrites(t *testing.T) {
	const writers = 53
	now := ident.Instant(time.Hour)
	var delays []time.Duration
	for i := range writers {
		a := NewAgent(testConfig(), owner(fmt.Sprint("h", i)).Member, now)
		a.ApplyRead(Table{}, 7, now, now)
		for range 4 {
			a.ApplyOutcome(Write{Offset: 7}, Refused, now, now)
		}
		assert.Assert(t, a.nextWriteAt >= now && a.nextWriteAt < now.Add(refusalStep<<maxRefusalDoubling))
		delays = append(delays, a.nextWriteAt.Sub(now))
	}
	slices.Sort(delays)
	assert.Assert(t, delays[writers*3/4]-delays[writers/4] > refusalStep<<(maxRefusalDoubling-2), "%v", delays)
}

// Load pattern: 60 neighbouring keys of one owner get as many requests as 15 servers of 35
// can run. What the owner served is a fraction of that, so that only the refused requests
// show it. One round of handoffs leaves no server with more than it can run.
func TestRefusedLoadOfHotKeysIsSpreadAtOnce(t *testing.T) {
	const servers, hotKeys, offeredSlots = 35, 60, 90.0
	now := ident.Instant(time.Hour)
	self := owner("h00")
	agent := NewAgent(testConfig(), self.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, 1999}, Owner: self, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: self.Instance, Sequence: 1}, now)
	var cs []Candidate
	for i := range servers {
		c := candidate(owner(fmt.Sprintf("h%02d", i)))
		c.Slots, c.Utilization = 6, 0.4
		cs = append(cs, c)
	}
	cs[0].Utilization = 1.5 // what runs and waits there
	for i := range hotKeys {
		served, refused := 0.1, 0.9
		seconds := offeredSlots / hotKeys * sumWindow.Seconds()
		for _, part := range []float64{served, refused} {
			agent.RecordServiceTime(Key(1000+i), time.Duration(part*seconds*float64(time.Second)))
		}
	}

	assert.Assert(t, agent.handOffHotRanges(cs))
	total, left := agent.ownLoad(), 1.0
	given := map[ident.Host]float64{}
	for _, g := range agent.handoffs {
		part := agent.load.sumOver(g.Span) / total
		given[g.to.Member.Host] += part * offeredSlots / 6
		left -= part
	}
	for h, use := range given {
		assert.Assert(t, 0.4+use < 1.5, "%s is given %.2f times its slots", h, use)
	}
	assert.Assert(t, left*offeredSlots/6 < 2, "the owner keeps %.2f times its slots", left*offeredSlots/6)
}

// Load pattern: several owners of hot keys hand ranges to the same idle server at once, none
// of them aware of the others. It must not get more rows than the answer to a heartbeat
// carries: it would renew nothing, and its keys would lapse.
func TestHandoffsToACrowdedReceiverAreCanceled(t *testing.T) {
	a, b, c := owner("a"), owner("b"), owner("c")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	planned := Table{Rows: []Row{{Span: Span{0, 29999}, Owner: a, Fence: 1}, {Span: Span{30000, MaxKey}, Owner: c, Fence: 1}}}
	agent.ApplyRead(planned, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	for i := range 10 {
		s := Span{Key(100 * i), Key(100*i + 9)}
		agent.addHandoff(agent.table.Rows[0], s, b)
	}
	for i := range maxRowsPerOwner - 4 {
		k := Key(30000 + 100*i)
		planned = planned.withRow(Row{Span: Span{k, k + 9}, Owner: b, Fence: 2})
	}
	agent.ApplyRead(planned, 2, now, now)
	agent.writeHandoffs(now, []Candidate{candidate(a), candidate(b), candidate(c)})
	assert.Equal(t, len(agent.handoffs), 4)
}
