package sidecar

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// Records that are no orders must not end an evacuation, nor begin one, and are told once. A
// daemon that learns of an order without having seen it written refuses at once; one that saw
// it lets run what is on its way.
func TestOrdersOfEvacuation(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	core, logs := observer.New(zap.WarnLevel)
	decode := func(key string, value []byte) (ident.FailureDomain, bool, bool, error) {
		if string(value) == "bad" {
			return ident.FailureDomain(key), false, true, errors.New("bad")
		}
		return ident.FailureDomain(key), len(value) > 0, key != "config", nil
	}
	newOne := func() *evacuations { return newEvacuations("a", 5*time.Second, decode, clock, zap.New(core)) }
	entry := func(key, value string, at ident.Offset) logservice.KeyedEntry {
		return logservice.KeyedEntry{Key: key, Value: []byte(value), Offset: at}
	}
	e := newOne()
	e.applyRead(logservice.Newest{Next: 4, Entries: []logservice.KeyedEntry{entry("config", "x", 1), entry("b", "bad", 3)}}, 0)
	assert.Equal(t, len(e.Domains()), 0)
	e.applyChanges(logservice.Changes{Next: 5, Entries: []logservice.KeyedEntry{entry("a", "x", 4)}}, true, 0)
	assert.Assert(t, e.covers("a") && e.refusal(false) == nil)
	clock.now = clock.now.Add(time.Second)
	assert.Assert(t, e.refusal(false) != nil && e.refusal(true) == nil)
	told := newOne()
	n, known := e.notice()
	assert.Assert(t, known)
	told.merge(n, ident.Member{Host: "h"})
	assert.Assert(t, told.refusal(false) != nil && told.refusal(true) == nil, "as old as at the other daemon")
	heldUp := newOne()
	heldUp.applyChanges(logservice.Changes{Next: 5, Entries: []logservice.KeyedEntry{entry("a", "x", 4)}}, true, 0)
	heldUp.merge(n, ident.Member{Host: "h"})
	assert.Assert(t, heldUp.refusal(false) != nil, "another daemon has had the answer of the store before")
	n.State.At, n.State.Domains, n.AgesMS = 9, domains{"a", "z"}, []int64{100, 9000}
	other := newOne()
	other.merge(n, ident.Member{Host: "h"})
	assert.Assert(t, other.refusal(false) == nil, "an older order of another domain")
	e.applyChanges(logservice.Changes{Next: 6, Entries: []logservice.KeyedEntry{entry("a", "bad", 5)}}, true, 0)
	e.applyRead(logservice.Newest{Next: 7, Entries: []logservice.KeyedEntry{entry("a", "bad", 5)}}, 0)
	assert.Assert(t, e.covers("a"))
	assert.Equal(t, logs.FilterMessage("evacuation_refused").Len(), 3)
	late := newOne()
	late.applyRead(logservice.Newest{Next: 5, Entries: []logservice.KeyedEntry{entry("a", "x", 4)}}, 0)
	assert.Assert(t, late.refusal(true) != nil)
	e.applyChanges(logservice.Changes{Next: 8, Entries: []logservice.KeyedEntry{entry("a", "", 7)}}, true, 0)
	assert.Assert(t, !e.covers("a") && e.refusal(false) == nil)
	assert.Assert(t, e.tracker.Merge(evacuation.State{At: 6}, nil, 0).Empty())
}

// The servers of a domain that is taken back may have become cold meanwhile. They count as cold
// until they have said that they are not, in a heartbeat sent after the end.
func TestServerIsColdAfterEvacuation(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	s.coldBound = func(ident.Service) admission.ColdBound { return admission.ColdBound{Rate: 10, PerSecond: 20} }
	s.HandleHeartbeat(newHeartbeat(1, 1))
	s.holdCold()
	clock.now = clock.now.Add(500 * time.Millisecond)
	s.HandleHeartbeat(newHeartbeat(1, 2)) // sent before the end, and held up on its way
	n := startsIn(s, clock, time.Second)
	assert.Assert(t, n >= 8 && n <= 12, "%d requests in a second", n)
	assert.Assert(t, s.rosterEntry().ColdMS > 0)
	s.HandleHeartbeat(newHeartbeat(1, 3))
	assert.Equal(t, s.rosterEntry().ColdMS, int64(0))
	n = startsIn(s, clock, 250*time.Millisecond)
	assert.Assert(t, n >= 3 && n <= 8, "%d requests in the first step", n)
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, startsIn(s, clock, time.Second), 100)
}

// A daemon that does not know of the evacuation sends a request to a server there. The daemon
// beside the server has the last word.
func TestDaemonBesideEvacuatedServerRefuses(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	hb := newHeartbeat(1, 1)
	hb.Service = "pool"
	s.HandleHeartbeat(hb)
	e := newEvacuations("a", 5*time.Second, nil, clock, zap.NewNop())
	x := &executor{server: s, ownership: s.ownership, evacuations: e}
	r := &hop.Request{Service: "pool", Key: hop.NoKey}
	assert.Assert(t, x.checkAllowed(r) == nil)
	e.merge(evacuationNotice{State: evacuation.State{At: 1, Domains: domains{"a"}}, AgesMS: []int64{2000}}, ident.Member{Host: "h"})
	refusal := x.checkAllowed(r)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Kind, errkind.Draining)
	assert.Equal(t, refusal.Answer().Truth, errkind.NotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// No daemon chooses a server of an evacuated domain, orders that may be a mistake are told once
// and hold, and the end of one here makes the server count as cold.
func TestEvacuationCoversServers(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	core, logs := observer.New(zap.InfoLevel)
	s := newTestServer(clock)
	e := newEvacuations("a", 5*time.Second, nil, clock, zap.New(core))
	p := &peers{self: ident.Member{Host: "h-a"}, clock: clock, log: zap.New(core), roster: roster.New("h-a"), ownership: s.ownership, server: s, evacuations: e}
	d := &Daemon{server: s, ownership: s.ownership, evacuations: e, peers: p, log: zap.New(core)}
	e.onChange = d.handleEvacuation
	for _, domain := range []string{"a", "b"} {
		p.roster.Merge(roster.Entry{
			Member: ident.Member{Host: ident.Host("h-" + domain)}, Location: ident.Location{FailureDomain: ident.FailureDomain(domain)},
			Server: roster.Server{Service: "pool", State: roster.Ready},
		}, clock.now)
	}
	order := func(at ident.Offset, ds ...ident.FailureDomain) {
		e.merge(evacuationNotice{State: evacuation.State{At: at, Domains: ds}}, ident.Member{Host: "x"})
		clock.now = clock.now.Add(checkDelay)
		p.checkEvacuated()
		p.checkEvacuated()
	}
	order(1, "a")
	available := p.availableServers("pool", nil)
	assert.Assert(t, len(available) == 1 && available[0].Member.Host == "h-b")
	assert.Equal(t, logs.FilterMessage("evacuation_leaves_no_server").Len(), 0)
	order(2, "a", "b")
	assert.Equal(t, len(p.availableServers("pool", nil)), 0)
	assert.Equal(t, logs.FilterMessage("evacuation_leaves_no_server").Len(), 1)
	order(3, "a", "elsewhere")
	assert.Equal(t, logs.FilterMessage("evacuation_of_unknown_domain").Len(), 1)
	assert.Assert(t, s.heldAt == 0)
	order(4)
	assert.Assert(t, s.heldAt != 0)
	assert.Equal(t, len(p.availableServers("pool", nil)), 2)
	assert.Equal(t, logs.FilterMessage("evacuation_began").Len(), 3)
	assert.Equal(t, logs.FilterMessage("evacuation_ended").Len(), 3)
}
