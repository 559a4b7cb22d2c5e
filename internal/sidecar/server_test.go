package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now ident.Instant }

func (c *manualClock) Now() ident.Instant { return c.now }

func newTestServer(clock *manualClock) *server {
	return &server{
		clock: clock, log: zap.NewNop(), onChange: func() {}, drainTime: 2500 * time.Millisecond,
		gate: admitting.NewGate(admission.DefaultConfig(1), clock),
		ownership: &ownership{
			follower: sharedread.NewFollower(sharedread.DefaultConfig(), "h"), followers: map[ident.Host]ident.Instant{}, readTable: map[ident.Service]versionedTable{},
			clock: clock, log: zap.NewNop(),
			agents: map[ident.Service]*keyrange.Agent{"s": keyrange.NewAgent(keyrange.Config{}, ident.Member{Host: "h", Incarnation: 1}, clock.now)},
			tables: map[ident.Service]versionedTable{},
		},
	}
}

func newHeartbeat(born, sequence int64) Heartbeat {
	return Heartbeat{Instance: roster.Instance{ID: "i", StartedMS: born}, Service: "s", Addr: "a:1", Slots: 2, Sequence: sequence}
}

// After its leave was acknowledged and the drain time is over, a server must get no
// requests, not even for keys that it still holds. A simulated day with faults showed
// requests for held keys that arrived 2,526 ms after the acknowledgment.
func TestLeavingServerGetsNoRequestsAfterDrainTime(t *testing.T) {
	for _, leave := range []func(*server){
		func(s *server) { s.HandleLeave("i") },
		func(s *server) { r := newHeartbeat(1, 2); r.Draining = true; s.HandleHeartbeat(r) },
	} {
		clock := &manualClock{now: ident.Instant(time.Hour)}
		s := newTestServer(clock)
		s.HandleHeartbeat(newHeartbeat(1, 1))
		leave(s)
		_, leaving, ok := s.target("s")
		assert.Assert(t, leaving && ok)
		clock.now = clock.now.Add(2100 * time.Millisecond)
		_, _, ok = s.target("s")
		assert.Assert(t, !ok, "work 400 ms before the bound may arrive after it")
	}
}

// A heartbeat sent before an acknowledged leave and received after it must not undo the
// leave, and a heartbeat of an earlier instance must have no effect.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.HandleHeartbeat(newHeartbeat(5, 7))
	s.HandleLeave("i")
	s.HandleHeartbeat(newHeartbeat(5, 6))
	s.HandleHeartbeat(newHeartbeat(5, 8))
	_, leaving, _ := s.target("s")
	assert.Assert(t, leaving, "a heartbeat undid the leave")
	s.HandleHeartbeat(newHeartbeat(4, 99))
	assert.Equal(t, s.rosterEntry().Instance.StartedMS, int64(5))
	s.HandleHeartbeat(newHeartbeat(6, 1))
	_, leaving, ok := s.target("s")
	assert.Assert(t, !leaving && ok, "a new life starts afresh")
}

// A heartbeat that was sent before a leave was known told the ownership that the server
// keeps serving, so that its keys stayed where they were.
func TestHeartbeatDoesNotUndoKnownLeave(t *testing.T) {
	for name, leave := range map[string]func(*server){
		"answer": func(s *server) {
			s.recordStatement("i", advisory.Statement{Leaving: true}, s.clock.Now())
		},
		"peer": func(s *server) {
			s.recordPeerAdvisory(&advisory.Advisory{Instance: s.instance, Leaving: true, LeavingSince: s.clock.Now()})
		},
		"leave": func(s *server) { s.HandleLeave("i") },
	} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: ident.Instant(time.Hour)}
			s := newTestServer(clock)
			s.HandleHeartbeat(newHeartbeat(5, 1))
			leave(s)
			hb := newHeartbeat(5, 2)
			_, stale := s.updateState(&hb)
			assert.Assert(t, !stale && hb.Draining)
			_, leaving, _ := s.target("s")
			assert.Assert(t, leaving)
		})
	}
}

// A leave that another daemon was told of counts from then on, also in a daemon that
// started later; one of an earlier instance does not count.
func TestLeaveKnownToPeersCountsFromTheirKnowledge(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.HandleHeartbeat(newHeartbeat(5, 1))
	s.recordPeerAdvisory(&advisory.Advisory{Instance: roster.Instance{ID: "i", StartedMS: 4}, Leaving: true, LeavingSince: clock.now.Add(-time.Minute)})
	_, leaving, ok := s.target("s")
	assert.Assert(t, !leaving && ok)
	s.recordPeerAdvisory(&advisory.Advisory{Instance: s.instance, Leaving: true, LeavingSince: clock.now.Add(-3 * time.Second)})
	_, leaving, ok = s.target("s")
	assert.Assert(t, leaving && !ok)
}
