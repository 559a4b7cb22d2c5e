package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// restarted returns an agent of a daemon that has just started again beside a server that
// holds all keys, and the other servers as it sees them.
func restarted(now ident.Instant) (*Agent, []Candidate) {
	a, b := owner("a"), owner("b")
	former := a
	former.Member.Incarnation--
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: former, Fence: 1}}}, 1, now, now)
	return agent, []Candidate{candidate(a), candidate(b)}
}

// tickUntilWritten ticks until the agent writes for a reason, and returns when that was.
func tickUntilWritten(t *testing.T, agent *Agent, cs []Candidate, reason string, now, limit ident.Instant) ident.Instant {
	for ; now <= limit; now = now.Add(stepInterval) {
		if w := agent.Tick(now, cs); w != nil {
			agent.ApplyOutcome(*w, Written, now, now)
			if w.Reason == reason {
				return now
			}
		}
	}
	t.Fatalf("no write for reason %q", reason)
	return 0
}

// A heartbeat that was sent before the previous process of the daemon granted keys arrived
// at its successor, and the server left: its keys went to another server while it held them.
func TestLateHeartbeatAfterRestartReleasesNoKeys(t *testing.T) {
	for name, leave := range map[string]func(*Agent, ident.Instant){
		"the server signs off": func(a *Agent, _ ident.Instant) { a.ServerLost() },
		"the server drains": func(a *Agent, now ident.Instant) {
			a.HandleHeartbeat(Heartbeat{Instance: a.instance, Sequence: 5, Draining: true}, now)
		},
		"another late heartbeat": func(a *Agent, now ident.Instant) {
			a.HandleHeartbeat(Heartbeat{Instance: a.instance, Sequence: 5}, now)
			a.ServerLost()
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := ident.Instant(time.Hour)
			agent, cs := restarted(start)
			agent.HandleHeartbeat(Heartbeat{Instance: owner("a").Instance, Sequence: 4}, start)
			leave(agent, start)
			handedOff := tickUntilWritten(t, agent, cs, "server_leaves", start, start.Add(time.Minute))
			assert.Assert(t, handedOff > start.Add(testConfig().MaxHold), "handed off after %s", handedOff.Sub(start))
		})
	}
}

// A server that drains right after its daemon was restarted hands its keys over as soon as it
// has released them, not only when the grants of the previous process have expired.
func TestDrainAfterRestartHandsKeysOverOnceReleased(t *testing.T) {
	start := ident.Instant(time.Hour)
	agent, cs := restarted(start)
	server := owner("a").Instance
	held := []HeldRange{{Span{0, MaxKey}, 1}}
	agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 9, Held: held}, start)
	now := tickUntilWritten(t, agent, cs, "claim", start, start)
	agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 10, Held: held, Draining: true}, now)
	assert.Assert(t, agent.Tick(now, cs) == nil, "keys that the server still holds")
	g := agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 11, Held: held, Draining: true}, now)
	assert.Equal(t, len(g.Rows), 0)
	agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 12, Draining: true, Released: []ReleasedRange{{Span{0, MaxKey}, "token"}}}, now)
	w := agent.Tick(now, cs)
	assert.Assert(t, w != nil && w.Reason == "server_leaves")
	assert.Equal(t, w.Table.Rows[0].TransferToken, "token")
}

// A row of another fencing token than the one that the server listed may have been granted
// after that list was sent.
func TestListOfFormerFencingTokenReleasesNoKeys(t *testing.T) {
	start := ident.Instant(time.Hour)
	agent, cs := restarted(start)
	server := owner("a").Instance
	agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 1, Held: []HeldRange{{Span{0, MaxKey}, 0}}}, start)
	agent.HandleHeartbeat(Heartbeat{Instance: server, Sequence: 2}, start)
	agent.ServerLost()
	handedOff := tickUntilWritten(t, agent, cs, "server_leaves", start, start.Add(time.Minute))
	assert.Assert(t, handedOff > start.Add(testConfig().MaxHold))
}

// One heartbeat of another writer ended the grants of a live server in the books: its keys went
// to another host while it held them.
func TestHeartbeatOfAnotherInstanceReleasesNoKeys(t *testing.T) {
	for name, foreign := range map[string]Heartbeat{
		"drains":              {Instance: roster.Instance{ID: "x", StartedMS: 9}, Sequence: 1, Draining: true},
		"under the same id":   {Instance: roster.Instance{ID: "a", StartedMS: 9}, Sequence: 1, Draining: true},
		"is lost soon":        {Instance: roster.Instance{ID: "x", StartedMS: 9}, Sequence: 1},
		"of an earlier start": {Instance: roster.Instance{ID: "x"}, Adoption: 1, Sequence: 1, Draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := owner("a"), owner("b")
			now := ident.Instant(time.Hour)
			agent := NewAgent(testConfig(), a.Member, now)
			agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
			now = now.Add(time.Minute) // nothing inherited counts
			agent.ApplyUnchangedRead(1, now, now)
			g := agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
			assert.Equal(t, len(g.Rows), 1)
			granted := now
			now = now.Add(100 * time.Millisecond)
			agent.HandleHeartbeat(foreign, now)
			if !foreign.Draining {
				agent.ServerLost()
			}
			handedOff := tickUntilWritten(t, agent, []Candidate{candidate(a), candidate(b)}, "server_leaves", now, now.Add(time.Minute))
			assert.Assert(t, handedOff > granted.Add(g.Hold), "handed off %s after the grant of %s", handedOff.Sub(granted), g.Hold)
		})
	}
}

// A server that restarts is granted its keys in the answer to its second heartbeat, as it was
// before the grants of the former instance counted on: they delay handoffs only.
func TestRestartedServerIsGrantedItsKeysAtOnce(t *testing.T) {
	for _, id := range []string{"a", "a2"} {
		a := owner("a")
		now := ident.Instant(time.Hour)
		agent := NewAgent(testConfig(), a.Member, now)
		agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
		agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1}, now)
		successor := roster.Instance{ID: id, StartedMS: 2}
		agent.HandleHeartbeat(Heartbeat{Instance: successor, Sequence: 1}, now)
		tickUntilWritten(t, agent, []Candidate{candidate(Owner{a.Member, successor})}, "claim", now, now)
		g := agent.HandleHeartbeat(Heartbeat{Instance: successor, Sequence: 2}, now)
		assert.Assert(t, g != nil && len(g.Rows) == 1 && g.Rows[0].Fence > 1)
	}
}

// A server drained and was taken for another one while the outcome of the write that handed its
// keys off was unclear. When its heartbeats counted again, it was granted the keys that the
// write had given to another host. Found by TestNoTwoServersHoldAKey.
func TestUnclearHandoffOutlivesAnAdoption(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	agent.ApplyRead(Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}, 1, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Sequence: 1, Draining: true}, now)
	var w *Write
	for w == nil {
		now = now.Add(stepInterval)
		w = agent.Tick(now, []Candidate{candidate(a), candidate(b)})
	}
	agent.HandleHeartbeat(Heartbeat{Instance: roster.Instance{ID: "x", StartedMS: 9}, Adoption: 1, Sequence: 1}, now)
	agent.ApplyOutcome(*w, Unclear, now, now)
	agent.ApplyUnchangedRead(1, now, now)
	g := agent.HandleHeartbeat(Heartbeat{Instance: a.Instance, Adoption: 2, Sequence: 2}, now)
	assert.Assert(t, g != nil && len(g.Rows) == 0, "%+v", g)
}
