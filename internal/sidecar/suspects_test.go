package sidecar

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/origin"
)

func newTestSuspects(h ident.Host, clock ident.Clock) *suspects {
	return newSuspects(h, newSuspectStore(nil, zap.NewNop()), nil, clock, zap.NewNop())
}

func requestTo(uri string) *hop.Request {
	return &hop.Request{Method: "GET", URI: uri, Key: hop.NoKey, Deadline: ident.Instant(2 * time.Hour)}
}

func suspectedOf(suspicion int, rs ...*hop.Request) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, r := range rs {
		out = append(out, quarantine.Suspect{Fingerprint: r.Fingerprint(), Suspicion: suspicion})
	}
	return out
}

// Requests that were in progress when a server ended run one at a time, so that the next
// crash has one cause. Those in no suspicion do not wait for them.
func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	s := newTestSuspects("h", &manualClock{now: ident.Instant(time.Hour)})
	a, b, other := requestTo("/a"), requestTo("/b"), requestTo("/other")
	s.recordCrash(suspectedOf(0, a, b))
	isolated, endA, e := s.isolate(context.Background(), a, a.Fingerprint)
	assert.Assert(t, e == nil && isolated)
	isolated, end, e := s.isolate(context.Background(), other, other.Fingerprint)
	assert.Assert(t, e == nil && !isolated)
	end()
	entered := make(chan func())
	go func() {
		_, endB, _ := s.isolate(context.Background(), b, b.Fingerprint)
		entered <- endB
	}()
	select {
	case <-entered:
		t.Fatal("both run")
	case <-time.After(50 * time.Millisecond):
	}
	endA()
	(<-entered)()
}

// Everybody who waits for a page learns at once what its first run has shown.
func TestWaitingRequestsFollowTheOutcomeOfTheFirst(t *testing.T) {
	for _, deadly := range []bool{false, true} {
		s := newTestSuspects("h", &manualClock{now: ident.Instant(time.Hour)})
		r := requestTo("/page")
		s.recordCrash(suspectedOf(0, r))
		_, end, e := s.isolate(context.Background(), r, r.Fingerprint)
		assert.Assert(t, e == nil)
		results := make(chan *errkind.Error)
		const waiting = 5
		for range waiting {
			go func() {
				isolated, end, e := s.isolate(context.Background(), r, r.Fingerprint)
				if e == nil {
					defer end()
				}
				assert.Check(t, !isolated)
				results <- e
			}()
		}
		if deadly {
			s.recordCrash(suspectedOf(2, r))
		} else {
			s.clear(r.Fingerprint)
		}
		for range waiting {
			e := <-results
			assert.Equal(t, e != nil, deadly)
			if deadly {
				assert.Equal(t, e.Kind, errkind.Quarantined)
				assert.Equal(t, e.Answer().Truth, errkind.NotRun)
				assert.Assert(t, e.Answer().RetryAfter > 10*time.Second)
			}
		}
		end()
	}
}

// A suspected request that cannot run in time is refused while the caller can still go on.
func TestSuspectedRequestIsNotHeldUntilItsDeadline(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestSuspects("h", clock)
	a, b := requestTo("/a"), requestTo("/b")
	s.recordCrash(suspectedOf(0, a, b))
	_, end, e := s.isolate(context.Background(), a, a.Fingerprint)
	assert.Assert(t, e == nil)
	defer end()
	b.Deadline = clock.now.Add(100 * time.Millisecond)
	_, _, e = s.isolate(context.Background(), b, b.Fingerprint)
	assert.Equal(t, e.Kind, errkind.Overloaded)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, e = s.isolate(canceled, a, a.Fingerprint)
	assert.Equal(t, e.Answer().Truth, errkind.NotRun)
}

// What one daemon has seen binds all, and ends for all.
func TestDaemonsShareSuspicions(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	here, there := newTestSuspects("a", clock), newTestSuspects("b", &manualClock{now: ident.Instant(7 * time.Hour)})
	r := requestTo("/a")
	tell := func(m suspectReport) {
		data, err := codec.Marshal(m)
		assert.NilError(t, err)
		assert.NilError(t, decodeThen(data, there.handleReport))
	}
	here.recordCrash(suspectedOf(2, r))
	<-here.changed
	clock.now = clock.now.Add(10 * time.Second)
	tell(here.takePending())
	assert.Equal(t, refusalOf(there.judge(r.Fingerprint)).Kind, errkind.Quarantined)
	there = newTestSuspects("b", clock)
	tell(here.report())
	assert.Equal(t, there.judge(r.Fingerprint).Suspicion, 4, "a daemon that was started later")
	here.clear(r.Fingerprint)
	tell(here.takePending())
	assert.Assert(t, refusalOf(there.judge(r.Fingerprint)) == nil)
	assert.Assert(t, here.takePending().empty())
}

// While there are records, every request is hashed; old ones must not be kept, here or in the
// store.
func TestOldSuspicionsAreForgotten(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestSuspects("h", clock)
	s.recordCrash(suspectedOf(0, requestTo("/a")))
	s.recordCrash(suspectedOf(2, requestTo("/b")))
	assert.Equal(t, s.store.writes.Len(), 1, "the conviction is stored")
	clock.now = clock.now.Add(90 * time.Second)
	s.deleteOld(1)
	assert.Equal(t, s.ledger.Len(), 1)
	clock.now = clock.now.Add(time.Minute)
	s.deleteOld(1)
	s.judge(func() quarantine.Fingerprint { panic("no request needs a fingerprint any more") })
	assert.Equal(t, s.store.writes.Len(), 2, "the stored record is deleted")
}

// A request may be cleared and suspected again before the other daemons have been told of either.
func TestReportOfARequestSuspectedAgain(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	here, there := newTestSuspects("a", clock), newTestSuspects("b", clock)
	r := requestTo("/a")
	here.recordCrash(suspectedOf(0, r))
	here.clear(r.Fingerprint)
	here.recordCrash(suspectedOf(0, r))
	there.handleReport(here.takePending())
	assert.Assert(t, there.judge(r.Fingerprint).Suspicion > 0)
	here.clear(r.Fingerprint)
	there.handleReport(here.takePending())
	assert.Equal(t, there.judge(r.Fingerprint).Suspicion, 0)
}

func newTestCrashWatch(accepts bool) (w *crashWatch, probes *int, crashes *[]quarantine.Suspect) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.gate = admitting.NewGate(admission.DefaultConfig(1), clock)
	s.HandleHeartbeat(newHeartbeat(1, 1))
	probes, crashes = new(int), new([]quarantine.Suspect)
	return &crashWatch{
		server: s, clock: clock, log: zap.NewNop(), runs: quarantine.NewRuns(),
		accepts: func(context.Context, origin.Server) (bool, bool) { *probes++; return accepts, true },
		onCrash: func(s []quarantine.Suspect) { *crashes = append(*crashes, s...) },
	}, probes, crashes
}

func lostAnswer() *hop.Answer {
	return &hop.Answer{Failure: errkind.New(errkind.OutcomeUnknown, "cut"), ReachedBackend: true, ConnectionLost: true}
}

// A server that ends is told from one that breaks off an answer, from a reset connection and
// from a server that leaves.
func TestCrashIsToldFromALostConnection(t *testing.T) {
	for _, c := range []struct {
		name            string
		accepts, leaves bool
		suspected       int
	}{
		{"the server has ended", false, false, 2},
		{"the connection was cut", true, false, 0},
		{"the server has left", false, true, 0},
	} {
		w, probes, crashes := newTestCrashWatch(c.accepts)
		if c.leaves {
			w.server.HandleLeave("i")
		}
		r := requestTo("/a")
		first := w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
		second := w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
		w.endRun(first, testOrigin, lostAnswer())
		assert.Equal(t, len(*crashes), c.suspected, c.name)
		w.endRun(second, testOrigin, lostAnswer())
		assert.Equal(t, len(*crashes), c.suspected, c.name)
		assert.Equal(t, *probes, 1, "%s: one probe for all", c.name)
	}
}

// A run that began after the end of its server, and found its port closed, is not a suspect.
func TestRunsAfterTheEndOfTheServerAreNotSuspected(t *testing.T) {
	w, _, crashes := newTestCrashWatch(false)
	r := requestTo("/a")
	id := w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
	w.endRun(id, testOrigin, lostAnswer())
	assert.Equal(t, len(*crashes), 1)
	w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
	w.handleServerEnd(testOrigin)
	assert.Equal(t, len(*crashes), 1)

	// A server that states no time of its start is the same instance after a restart.
	w.server.HandleHeartbeat(newHeartbeat(1, 2))
	w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
	w.handleServerEnd(testOrigin)
	assert.Equal(t, len(*crashes), 2)
}

// Another writer named an address that nobody listens on. The requests that were sent there, and
// those that the real server worked on, were suspected of having ended a server.
func TestAddressThatWasNeverReachedSuspectsNoRequests(t *testing.T) {
	w, _, crashes := newTestCrashWatch(false)
	r := requestTo("/a")
	id := w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
	w.endRun(id, testOrigin, &hop.Answer{Status: 200, ReachedBackend: true})
	w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint}) // the real server works on it
	foreign := newHeartbeat(9, 1)
	foreign.Instance.ID, foreign.Addr = "x", "nobody:1"
	w.server.HandleHeartbeat(foreign)
	w.beginRun(quarantine.Run{Fingerprint: r.Fingerprint})
	w.handleServerEnd(origin.Server{Addr: "nobody:1", ID: "x"})
	assert.Equal(t, len(*crashes), 0)
	_, _, lost := w.server.current()
	assert.Assert(t, lost, "it is not used all the same")
}

// A connection that the former server refused counted against the one that had taken its place.
func TestRefusalOfAFormerServerDoesNotCountAgainstItsSuccessor(t *testing.T) {
	w, _, _ := newTestCrashWatch(false)
	successor := newHeartbeat(9, 1)
	successor.Instance.ID = "x"
	w.server.HandleHeartbeat(successor)
	w.handleServerEnd(testOrigin)
	w.server.handleConnectionRefused(testOrigin)
	_, _, lost := w.server.current()
	assert.Assert(t, !lost)
}

// The error of a server that fails part of its requests does not clear one that ends servers.
func TestOnlyASuccessfulRunClearsARequest(t *testing.T) {
	for status, want := range map[int]quarantine.Outcome{200: quarantine.Answered, 404: quarantine.Answered, 500: quarantine.Inconclusive, 504: quarantine.Inconclusive} {
		assert.Equal(t, runOutcomeOf(&hop.Answer{Status: status}), want)
	}
	assert.Equal(t, runOutcomeOf(hop.FailedAnswer(errkind.New(errkind.BackendRefused, ""))), quarantine.Inconclusive)
	assert.Equal(t, runOutcomeOf(lostAnswer()), quarantine.Lost)
}
