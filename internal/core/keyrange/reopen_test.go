package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// lowerHalf and upperHalf are the keys of the two owners of the tables in these tests.
var (
	lowerHalf = Span{0, MaxKey / 2}
	upperHalf = Span{MaxKey/2 + 1, MaxKey}
)

// halves returns a table that assigns the lower half of the keys to one owner and the upper
// half to another, with a fencing token each.
func halves(lower Owner, lowerFence uint64, upper Owner, upperFence uint64) Table {
	return Table{Rows: []Row{{Span: lowerHalf, Owner: lower, Fence: lowerFence}, {Span: upperHalf, Owner: upper, Fence: upperFence}}}
}

// agentWithTable returns the agent of an owner that has read a table up to offset 9 of era
// zero just now, and has its server beside it.
func agentWithTable(o Owner, t Table, now ident.Instant) *Agent {
	a := NewAgent(testConfig(), o.Member, now.Add(-time.Minute))
	a.HandleHeartbeat(Heartbeat{Instance: o.Instance, Sequence: 1}, now)
	a.ApplyRead(t, 9, now, now)
	return a
}

// reopened returns a table as the first one of era one, written at its offset 3.
func reopened(t Table) (Table, ident.Offset) {
	t.Reopened = ident.OffsetIn(1, 3)
	return t, t.Reopened + 1
}

func grantedSpans(a *Agent, sequence int64, now ident.Instant) []Span {
	instance, _ := a.Instance()
	g := a.HandleHeartbeat(Heartbeat{Instance: instance, Sequence: sequence}, now)
	if g == nil {
		return nil
	}
	var out []Span
	for _, r := range g.Rows {
		out = append(out, r.Span)
	}
	return out
}

// The log comes back without the latest table. A daemon that remembers it writes it again,
// and does not renew its lease by the end of a stream that names no owner.
func TestRememberedTableIsWrittenAgain(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b := owner("a"), owner("b")
	agent := agentWithTable(a, halves(a, 4, b, 5), now)
	cs := []Candidate{candidate(a), candidate(b)}
	end := ident.OffsetIn(1, 3)
	agent.EnterEra(halves(a, 1, a, 1), end, now, now)
	lease := agent.remainingLease(now)
	agent.EnterEra(halves(a, 1, a, 1), end, now.Add(time.Second), now.Add(time.Second))
	assert.Equal(t, agent.remainingLease(now), lease)
	w := agent.Tick(now.Add(time.Second), cs)
	assert.Assert(t, w != nil)
	assert.Equal(t, w.Offset, end)
	assert.DeepEqual(t, w.Table, Table{Rows: halves(a, 4, b, 5).Rows, Reopened: end})
}

// A daemon that knows the copy only leaves it to others to write the table again.
func TestTableOfTheCopyIsTheLastResort(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b := owner("a"), owner("b")
	agent := NewAgent(testConfig(), a.Member, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	agent.EnterEra(halves(a, 1, b, 1), ident.OffsetIn(1, 3), now, now)
	cs := []Candidate{candidate(a), candidate(b)}
	assert.Assert(t, agent.Tick(now.Add(time.Second), cs) == nil)
	assert.Assert(t, grantedSpans(agent, 2, now) == nil, "nothing shows that nobody else holds the keys")
	assert.Assert(t, agent.Tick(now.Add(copyReopenDelay+time.Second), cs) != nil)
}

// An owner that held its row throughout goes on with it. One that did not, for example because
// it restarted, has to wait for the grants of the earlier era, and needs a new fencing token.
func TestInheritedRowIsGrantedByItsHolderOnly(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b := owner("a"), owner("b")
	table, next := reopened(halves(a, 4, b, 5))
	holder := agentWithTable(a, halves(a, 4, b, 5), now)
	holder.ApplyRead(table, next, now, now)
	assert.DeepEqual(t, grantedSpans(holder, 2, now), []Span{lowerHalf})

	restarted := NewAgent(testConfig(), a.Member, now)
	restarted.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
	restarted.ApplyRead(table, next, now, now)
	cs := []Candidate{candidate(a), candidate(b)}
	assert.Assert(t, grantedSpans(restarted, 2, now) == nil)
	assert.Assert(t, restarted.Tick(now.Add(time.Second), cs) == nil)

	later := now.Add(restarted.settleTime())
	restarted.ApplyRead(table, next, later, later)
	assert.Assert(t, grantedSpans(restarted, 3, later) == nil, "another server may have had a greater token")
	w := restarted.Tick(later, cs)
	assert.Assert(t, w != nil)
	row, _ := w.Table.Find(0)
	assert.Equal(t, row.Fence, fenceAt(next))
}

// The daemon that wrote the table again did not know of the last move. The receiver of the
// keys adds its row again; the former owner must not grant it meanwhile.
func TestRowLostByTheRestoreIsReclaimed(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b := owner("a"), owner("b")
	table, next := reopened(halves(a, 4, b, 5))
	receiver := agentWithTable(b, halves(b, 7, b, 5), now)
	receiver.ApplyRead(table, next, now, now)
	assert.DeepEqual(t, grantedSpans(receiver, 2, now), []Span{upperHalf})
	w := receiver.Tick(now, []Candidate{candidate(a), candidate(b)})
	assert.Assert(t, w != nil)
	row, _ := w.Table.Find(0)
	assert.Equal(t, row.Owner, b)
	assert.Equal(t, row.Fence, fenceAt(next))

	giver := agentWithTable(a, halves(b, 7, b, 5), now)
	giver.ApplyRead(table, next, now, now)
	assert.Assert(t, grantedSpans(giver, 2, now) == nil)
}

// A handoff whose write was unclear when the log was lost may have reached its receiver. It is
// written again, to that receiver only and without the wait; the giver grants its keys no more.
func TestUnclearHandoffIsWrittenAgain(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b, c := owner("a"), owner("b"), owner("c")
	known := halves(a, 4, b, 5)
	agent := agentWithTable(a, known, now)
	row, _ := known.Find(0)
	agent.addHandoff(row, Span{0, 99}, b)
	grantedSpans(agent, 2, now)
	grantedSpans(agent, 3, now.Add(100*time.Millisecond))
	cs := []Candidate{candidate(a), candidate(b), candidate(c)}
	w := agent.Tick(now.Add(200*time.Millisecond), cs)
	assert.Assert(t, w != nil)
	agent.ApplyOutcome(*w, Unclear, now, now)

	table, next := reopened(known)
	later := now.Add(time.Second)
	agent.ApplyRead(table, next, later, later)
	assert.DeepEqual(t, grantedSpans(agent, 4, later), []Span{{100, MaxKey / 2}})
	again := agent.Tick(later, cs)
	assert.Assert(t, again != nil)
	given, _ := again.Table.Find(0)
	assert.Equal(t, given.Owner, b)
}

// If that receiver is gone, nobody gets the keys until the grants of the earlier era have
// expired: neither another receiver nor the giver.
func TestUnclearHandoffGoesToNobodyElse(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b, c := owner("a"), owner("b"), owner("c")
	known := halves(a, 4, c, 5)
	for _, leaves := range []bool{false, true} {
		agent := agentWithTable(a, known, now)
		row, _ := known.Find(0)
		agent.addHandoff(row, Span{0, 99}, b)
		grantedSpans(agent, 2, now)
		grantedSpans(agent, 3, now)
		w := agent.Tick(now, []Candidate{candidate(a), candidate(b), candidate(c)})
		agent.ApplyOutcome(*w, Unclear, now, now)
		table, next := reopened(known)
		agent.ApplyRead(table, next, now, now)
		if leaves {
			agent.ServerDraining()
		}
		later := now.Add(time.Second)
		for range 3 {
			if w := agent.Tick(later, []Candidate{candidate(a), candidate(c)}); w != nil {
				given, _ := w.Table.Find(0)
				assert.Equal(t, given.Owner, a)
			}
		}
		for _, s := range grantedSpans(agent, 4, later) {
			assert.Assert(t, !s.Contains(0))
		}
	}
}

// A daemon that remembers a later owner of keys does not grant them, whoever hands them to it,
// until that owner's grants have expired.
func TestKeysOfRememberedOwnerAreNotGranted(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b, c := owner("a"), owner("b"), owner("c")
	table, next := reopened(halves(a, 4, b, 5))
	agent := agentWithTable(b, halves(c, 8, b, 5), now)
	agent.ApplyRead(table, next, now, now)
	handedOver := table.withRow(Row{Span: lowerHalf, Owner: b, Fence: fenceAt(next)})
	agent.ApplyRead(handedOver, next+1, now, now)
	assert.DeepEqual(t, grantedSpans(agent, 2, now), []Span{upperHalf})
	later := now.Add(agent.settleTime())
	agent.ApplyRead(handedOver, next+1, later, later)
	assert.DeepEqual(t, grantedSpans(agent, 3, later), []Span{lowerHalf, upperHalf})
}

// Until all grants of the earlier era have expired, inherited rows of a silent owner are not
// taken over; then the table is marked as settled.
func TestTableSettlesAfterTheLease(t *testing.T) {
	now := ident.Instant(time.Hour)
	a, b := owner("a"), owner("b")
	table, next := reopened(halves(a, 4, b, 5))
	agent := agentWithTable(a, halves(a, 4, b, 5), now)
	agent.ApplyRead(table, next, now, now)
	assert.Assert(t, !agent.mayTakeOver(b.Member, now))
	due := now.Add(agent.settleTime())
	agent.ApplyRead(table, next, due, due)
	assert.Assert(t, agent.mayTakeOver(b.Member, due))
	assert.DeepEqual(t, grantedSpans(agent, 2, due), []Span{lowerHalf})
	w := agent.Tick(due, []Candidate{candidate(a), candidate(b)})
	assert.Assert(t, w != nil)
	assert.Equal(t, w.Table.Reopened, ident.Offset(0))
	agent.ApplyOutcome(*w, Written, due, due)
	assert.DeepEqual(t, grantedSpans(agent, 3, due), []Span{lowerHalf})
}
