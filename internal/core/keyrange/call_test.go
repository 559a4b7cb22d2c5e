package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// newCallAgent returns an agent that grants by call and has received a heartbeat of its
// server, the owner of all keys. The grants of the daemon's previous process have
// expired.
func newCallAgent(t *testing.T) (a *Agent, self, other Owner, now ident.Instant) {
	self, other = owner("a"), owner("b")
	now = ident.Instant(time.Hour)
	a = NewAgent(testConfig(), self.Member, now)
	a.SetGrantMode(GrantByCall)
	now = now.Add(10 * time.Second)
	a.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: self, Fence: 7}}}, 1, now, now)
	assert.Assert(t, a.HandleHeartbeat(Heartbeat{Instance: self.Instance, Sequence: 1}, now) == nil)
	return a, self, other, now
}

func onlyCall(t *testing.T, calls []Call) Call {
	t.Helper()
	assert.Equal(t, len(calls), 1, "%+v", calls)
	return calls[0]
}

// A grant is made once, counts when it is confirmed, and is renewed before it expires.
func TestGrantByCallIsRenewed(t *testing.T) {
	a, _, _, now := newCallAgent(t)
	c := onlyCall(t, a.Calls(now))
	assert.Equal(t, c.Kind, CallGrant)
	assert.Equal(t, c.Fence, uint64(7))
	assert.Assert(t, !a.MayHold(5, now), "not confirmed")
	assert.Equal(t, len(a.Calls(now)), 0, "in flight")
	a.ApplyCallOutcome(c, CallDone, "", now)
	assert.Assert(t, a.MayHold(5, now))
	assert.Equal(t, len(a.Calls(now.Add(c.Hold/4))), 0)
	assert.Equal(t, onlyCall(t, a.Calls(now.Add(c.Hold/2))).Kind, CallGrant)
	assert.Assert(t, !a.MayHold(5, now.Add(c.Hold)), "expired")
}

// The server may carry out an unanswered grant seconds later, after a release. The keys
// are not free before that grant has expired.
func TestReleaseWaitsForUnansweredGrant(t *testing.T) {
	a, self, other, now := newCallAgent(t)
	confirmed := onlyCall(t, a.Calls(now))
	a.ApplyCallOutcome(confirmed, CallDone, "", now)
	now = now.Add(confirmed.Hold / 2)
	a.ApplyRead(a.table, 1, now, now)
	unanswered := onlyCall(t, a.Calls(now))
	sent := now
	a.ApplyCallOutcome(unanswered, CallUnclear, "", now)

	a.addHandoff(a.table.Rows[0], Span{0, 99}, other)
	now = now.Add(callRetryDelay)
	var release Call
	for _, c := range a.Calls(now) {
		if c.Kind == CallRelease {
			release = c
		}
	}
	assert.Equal(t, release.Span, Span{0, 99})
	assert.Assert(t, !a.MayHold(50, now), "a release was sent")
	a.ApplyCallOutcome(release, CallDone, "token", now)
	both := []Candidate{candidate(self), candidate(other)}
	assert.Assert(t, a.Tick(now, both) == nil, "the unanswered grant may still be applied")
	for _, c := range a.Calls(now.Add(callRetryDelay)) {
		assert.Assert(t, c.Kind == CallGrant, "the release was confirmed: %+v", c)
	}

	now = sent.Add(testConfig().CallDelay + testConfig().withDrift(unanswered.Hold) + time.Millisecond)
	w := a.Tick(now, both)
	assert.Assert(t, w != nil)
	row, _ := w.Table.Find(50)
	assert.Equal(t, row.Owner, other)
	assert.Equal(t, row.TransferToken, "token")
}

// A grant that was sent before the server restarted under its id may have reached the
// new instance. Found by TestNoTwoServersHoldAKeyByCall.
func TestGrantMayReachRestartedServer(t *testing.T) {
	a, self, _, now := newCallAgent(t)
	c := onlyCall(t, a.Calls(now))
	restarted := self.Instance
	restarted.StartedMS++
	a.HandleHeartbeat(Heartbeat{Instance: restarted, Sequence: 1}, now)
	assert.Assert(t, !a.isReleased(Span{0, 99}, now))
	a.ApplyCallOutcome(c, CallNotDone, "", now) // an outcome for the former instance
	assert.Assert(t, !a.isReleased(Span{0, 99}, now))
	assert.Assert(t, !a.MayHold(5, now))
}

// A row whose fencing token the server refuses gets a greater one.
func TestRefusedFenceIsReplaced(t *testing.T) {
	a, self, _, now := newCallAgent(t)
	c := onlyCall(t, a.Calls(now))
	a.ApplyCallOutcome(c, CallFenced, "", now)
	now = now.Add(time.Second)
	assert.Equal(t, len(a.Calls(now)), 0, "the same token would be refused again")
	a.nextOffset = 20
	w := a.Tick(now, []Candidate{candidate(self)})
	assert.Assert(t, w != nil)
	assert.Equal(t, w.Table.Rows[0].Fence, fenceAt(20))
}

// After a connection to the server broke, the server may have restarted: nothing is
// granted before its next heartbeat.
func TestNoGrantAfterDisconnectBeforeHeartbeat(t *testing.T) {
	a, self, _, now := newCallAgent(t)
	a.ServerDisconnected()
	assert.Equal(t, len(a.Calls(now)), 0)
	a.HandleHeartbeat(Heartbeat{Instance: self.Instance, Sequence: 2}, now)
	assert.Equal(t, len(a.Calls(now)), 1)
}

// A daemon that restarted does not know what its previous process granted. It gives no
// keys away before those grants have expired.
func TestRestartedDaemonWaitsForInheritedGrants(t *testing.T) {
	self, other := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	a := NewAgent(testConfig(), ident.Member{Host: "a", Incarnation: 2}, now)
	a.SetGrantMode(GrantByCall)
	a.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: self, Fence: 7}}}, 1, now, now)
	a.HandleHeartbeat(Heartbeat{Instance: self.Instance, Sequence: 1, Draining: true}, now)
	both := []Candidate{candidate(self), candidate(other)}
	assert.Assert(t, a.Tick(now, both) == nil)
	assert.Assert(t, a.Tick(now.Add(testConfig().MaxHold), both) == nil)
	w := a.Tick(now.Add(testConfig().CallDelay+testConfig().withDrift(testConfig().MaxHold)+1), both)
	assert.Assert(t, w != nil)
	assert.Equal(t, w.Table.Rows[0].Owner, other)
}

// Load pattern: a server owns more rows than calls may be in flight, and its first rows
// are due for renewal before the last ones were granted once. Every row is granted. Found
// by TestEveryKeyIsHeldAgainByCall.
func TestManyRowsAreAllGranted(t *testing.T) {
	const rows = 24
	a, self, _, now := newCallAgent(t)
	table := Table{}
	for i := range rows {
		table.Rows = append(table.Rows, Row{Span: Span{Key(100 * i), Key(100*i + 50)}, Owner: self, Fence: 1})
	}
	for round := range 8 {
		a.ApplyRead(table, ident.Offset(2+round), now, now)
		for _, c := range a.Calls(now) {
			a.ApplyCallOutcome(c, CallDone, "", now)
		}
		now = now.Add(testConfig().MaxHold / 4)
	}
	for i := range rows {
		assert.Assert(t, a.MayHold(Key(100*i), now.Add(-testConfig().MaxHold/4)), "row %d", i)
	}
}
