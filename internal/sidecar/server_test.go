package sidecar

import (
	"context"
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
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now ident.Instant }

func (c *manualClock) Now() ident.Instant { return c.now }

func newTestServer(clock *manualClock) *server {
	return &server{
		clock: clock, log: zap.NewNop(), instances: newTracker(), onChange: func() {}, isConfigured: func(s ident.Service) bool { return s != "other" }, drainTime: 2500 * time.Millisecond, knowsConfig: func() bool { return true },
		saveDepartures: func(roster.Departures) <-chan struct{} { stored := make(chan struct{}); close(stored); return stored },
		coldBound:      func(ident.Service) admission.ColdBound { return admission.ColdBound{} },
		gate:           admitting.NewGate(admission.DefaultConfig(1), clock),
		ownership: &ownership{
			follower: sharedread.NewFollower(sharedread.DefaultConfig(), "h"), followers: map[ident.Host]ident.Instant{}, readTable: map[ident.Service]versionedTable{},
			clock: clock, log: zap.NewNop(),
			agents: map[ident.Service]*keyrange.Agent{"s": keyrange.NewAgent(keyrange.Config{}, ident.Member{Host: "h", Incarnation: 1}, clock.now)},
			tables: map[ident.Service]versionedTable{},
		},
	}
}

// testOrigin is the server that sends the heartbeats of newHeartbeat.
var testOrigin = origin.Server{Addr: "a:1", ID: "i"}

func newHeartbeat(born, sequence int64) Heartbeat {
	return Heartbeat{Instance: roster.Instance{ID: "i", StartedMS: born}, Service: "s", Addr: "a:1", Slots: 2, Sequence: sequence, ListsKeys: true}
}

// One odd heartbeat of another writer made the server's own ones count as out of order, or put
// another server in its place.
func TestOddHeartbeatDoesNotSilenceServer(t *testing.T) {
	for name, odd := range map[string]func(*Heartbeat){
		"a sequence far ahead":               func(hb *Heartbeat) { hb.Sequence = 1 << 52 },
		"of a service that is not there":     func(hb *Heartbeat) { hb.Instance, hb.Service = roster.Instance{ID: "x", StartedMS: 9}, "other" },
		"without its lists of keys":          func(hb *Heartbeat) { hb.ListsKeys, hb.Draining = false, true },
		"of a start before that of the last": func(hb *Heartbeat) { hb.Instance = roster.Instance{ID: "x"} },
	} {
		clock := &manualClock{now: ident.Instant(time.Hour)}
		s := newTestServer(clock)
		s.HandleHeartbeat(newHeartbeat(1, 4))
		hb := newHeartbeat(1, 5)
		odd(&hb)
		hb.Slots = 77
		s.HandleHeartbeat(hb)
		assert.Equal(t, s.rosterEntry().Slots, 2, name)
		clock.now = clock.now.Add(time.Second)
		next := newHeartbeat(1, 6)
		next.Slots = 3
		s.HandleHeartbeat(next)
		assert.Equal(t, s.rosterEntry().Slots, 3, name)
	}
}

// A server that could not reach its daemon for long counts on meanwhile.
func TestHeartbeatAfterALongPauseIsAccepted(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.HandleHeartbeat(newHeartbeat(1, 1))
	clock.now = clock.now.Add(2 * time.Hour)
	late := newHeartbeat(1, 9_000)
	late.Slots = 5
	s.HandleHeartbeat(late)
	assert.Equal(t, s.rosterEntry().Slots, 5)
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
			s.recordPeerAdvisory(&advisory.Advisory{Instance: s.inUse().Instance, Leaving: true, LeavingSince: s.clock.Now()})
		},
		"leave": func(s *server) { s.HandleLeave("i") },
	} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: ident.Instant(time.Hour)}
			s := newTestServer(clock)
			s.HandleHeartbeat(newHeartbeat(5, 1))
			leave(s)
			hb := newHeartbeat(5, 2)
			_, _, outcome := s.updateState(&hb, true)
			assert.Assert(t, outcome.Accepted() && hb.Draining)
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
	s.recordPeerAdvisory(&advisory.Advisory{Instance: s.inUse().Instance, Leaving: true, LeavingSince: clock.now.Add(-3 * time.Second)})
	_, leaving, ok = s.target("s")
	assert.Assert(t, leaving && !ok)
}

// The new process of a daemon took a server that had left for ready, by a heartbeat from
// before the leave. A later instance under the same id does not inherit the leave.
func TestDepartureKnownBeforeFirstHeartbeat(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	for name, source := range map[string]func(*server){
		"store or peer": func(s *server) {
			s.recordDeparture(roster.Departure{Instance: roster.Instance{ID: "i", StartedMS: 5}, Since: clock.now.Add(-time.Minute)}, sourceStore)
		},
		"leave of a server without a heartbeat": func(s *server) { s.HandleLeave("i") },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(clock)
			source(s)
			s.HandleHeartbeat(newHeartbeat(5, 1))
			assert.Equal(t, s.rosterEntry().State, roster.Draining)
			_, leaving, _ := s.target("s")
			assert.Assert(t, leaving)
			s.HandleHeartbeat(newHeartbeat(time.Now().Add(time.Minute).UnixMilli(), 1))
			_, leaving, ok := s.target("s")
			assert.Assert(t, !leaving && ok)
		})
	}
}

// The time of day is set back, and another instance starts under the id of one whose leave came
// before its first heartbeat here. It must not be taken for the one that left for good.
func TestLeaveOfUnknownStartExpires(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.HandleLeave("i")
	clock.now = clock.now.Add(time.Hour)
	s.HandleHeartbeat(newHeartbeat(5, 1))
	_, leaving, ok := s.target("s")
	assert.Assert(t, !leaving && ok)
}

// A notice of an earlier instance must not make the daemon forget that the present one leaves.
func TestNoticeOfEarlierInstanceChangesNothing(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.HandleHeartbeat(newHeartbeat(5, 1))
	s.HandleLeave("i")
	s.recordDeparture(roster.Departure{Instance: roster.Instance{ID: "i", StartedMS: 4}, Since: clock.now}, sourcePeer)
	_, leaving, _ := s.target("s")
	assert.Assert(t, leaving)
}

// startsIn returns how many of 100 requests a second start without a wait in the next time d.
func startsIn(s *server, clock *manualClock, d time.Duration) (n int) {
	noWait, cancel := context.WithCancel(context.Background())
	cancel()
	for end := clock.now.Add(d); clock.now < end; clock.now = clock.now.Add(10 * time.Millisecond) {
		if release, err := s.gate.Admit(noWait, admission.Arrival{Class: "c", Deadline: clock.now.Add(time.Millisecond)}); err == nil {
			release(0)
			n++
		}
	}
	return n
}

// Servers of a failure domain become cold at once, and each says so only in its next heartbeat,
// up to 870 ms later. The first one that does warns the others; one that is new, or of
// another domain, does not.
func TestColdServerWarnsItsFailureDomain(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	hello := func(p *peers, seq uint64, domain ident.FailureDomain, started, coldMS int64) int {
		p.handleHello(hello{Entry: roster.Entry{
			Member: ident.Member{Host: "h-" + ident.Host(domain), Incarnation: 1}, Seq: seq, Location: ident.Location{FailureDomain: domain},
			Server: roster.Server{Instance: roster.Instance{ID: "x", StartedMS: started}, Service: "pool", State: roster.Ready, ColdMS: coldMS},
		}})
		clock.now = clock.now.Add(10 * time.Millisecond)
		return startsIn(p.server, clock, time.Second)
	}
	for _, c := range []struct {
		domain  ident.FailureDomain
		started int64
		most    int
	}{{"a", 1, 20}, {"a", 2, 100}, {"b", 1, 100}} {
		s := newTestServer(clock)
		s.coldBound = func(ident.Service) admission.ColdBound { return admission.ColdBound{Rate: 10, PerSecond: 20} }
		s.HandleHeartbeat(newHeartbeat(1, 1))
		p := &peers{self: ident.Member{Host: "h"}, location: ident.Location{FailureDomain: "a"}, clock: clock, log: zap.NewNop(), roster: roster.New("h"), server: s,
			configs: &configFollower{}, evacuations: newEvacuations("a", time.Second, nil, clock, zap.NewNop())}
		p.configs.table.Store(routes.NewTable(routes.Config{Version: 1}))
		p.mergeEntry(roster.Entry{Member: ident.Member{Host: "h-" + ident.Host(c.domain), Incarnation: 1}, Seq: 1, Location: ident.Location{FailureDomain: c.domain},
			Server: roster.Server{Instance: roster.Instance{ID: "x", StartedMS: 1}, Service: "pool", State: roster.Ready}})
		assert.Equal(t, hello(p, 2, c.domain, 1, 0), 100, "%+v: no server is cold", c)
		clock.now = clock.now.Add(2 * time.Second)
		n := hello(p, 3, c.domain, c.started, 3000)
		assert.Assert(t, n <= c.most && n >= c.most-2, "%+v: %d requests in the second after the warning", c, n)
	}
}

// A server that becomes cold again while it runs got all requests that its slots could take:
// nothing but a restart counted. The other daemons must learn of it, too.
func TestServerThatBecomesColdIsBounded(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.coldBound = func(ident.Service) admission.ColdBound { return admission.ColdBound{Rate: 10, PerSecond: 20} }
	told := 0
	s.onChange = func() { told++ }
	startedIn := func(d time.Duration) int { return startsIn(s, clock, d) }
	s.HandleHeartbeat(newHeartbeat(1, 1))
	assert.Equal(t, startedIn(time.Second), 100)
	told = 0
	hb := newHeartbeat(1, 2)
	hb.ColdFor = 2 * time.Second
	s.HandleHeartbeat(hb)
	assert.Equal(t, startedIn(850*time.Millisecond), 0, "a second at the full rate has just passed")
	next := newHeartbeat(1, 3)
	next.ColdFor = time.Second
	s.HandleHeartbeat(next)
	n := startedIn(900 * time.Millisecond)
	assert.Assert(t, n >= 8 && n <= 12, "%d requests started in 0.9 s", n)
	assert.Equal(t, told, 1)
	assert.Assert(t, s.rosterEntry().ColdMS > 0)
	clock.now = clock.now.Add(2 * time.Second)
	assert.Equal(t, startedIn(time.Second), 100)
}
