package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
)

// One heartbeat of a service that is not configured took the place of the real server for good,
// when no server was known, when the known one was lost, or while no configuration was known.
func TestHeartbeatOfUnconfiguredServiceNamesNoServer(t *testing.T) {
	foreign := newHeartbeat(9, 1)
	foreign.Instance.ID, foreign.Service = "x", "other"
	for name, before := range map[string]func(*server, *manualClock){
		"no server is known": func(*server, *manualClock) {},
		"the server is silent": func(s *server, clock *manualClock) {
			s.HandleHeartbeat(newHeartbeat(1, 1))
			clock.now = clock.now.Add(time.Minute)
			s.checkSilence()
		},
		"the server refuses connections": func(s *server, _ *manualClock) {
			s.HandleHeartbeat(newHeartbeat(1, 1))
			s.handleConnectionRefused(testOrigin)
		},
		"the server lives": func(s *server, _ *manualClock) { s.HandleHeartbeat(newHeartbeat(1, 1)) },
	} {
		clock := &manualClock{now: ident.Instant(time.Hour)}
		s := newTestServer(clock)
		before(s, clock)
		s.HandleHeartbeat(foreign)
		assert.Check(t, s.rosterEntry().Service != "other", name)
		s.HandleHeartbeat(newHeartbeat(1, 2))
		_, _, ok := s.target("s")
		assert.Check(t, ok, "%s: the real server is not in use", name)
	}
}

// One complete heartbeat of another writer shut the real server out for good: its own ones
// counted as those of an earlier instance, or as out of order.
func TestServerIsInUseAgainAfterForeignHeartbeat(t *testing.T) {
	for name, foreign := range map[string]Heartbeat{
		"a later start":                      {Instance: roster.Instance{ID: "x", StartedMS: 9}, Service: "s", Sequence: 1},
		"a later start, draining":            {Instance: roster.Instance{ID: "x", StartedMS: 9}, Service: "s", Sequence: 1, Draining: true},
		"a later start under its id":         {Instance: roster.Instance{ID: "i", StartedMS: 9}, Service: "s", Sequence: 1},
		"its start and id, another service":  {Instance: roster.Instance{ID: "i", StartedMS: 5}, Service: "u", Sequence: 90},
		"its start and id, a later sequence": {Instance: roster.Instance{ID: "i", StartedMS: 5}, Service: "s", Sequence: 90},
	} {
		for _, first := range []bool{false, true} { // the foreign heartbeat comes before the server's first one
			clock := &manualClock{now: ident.Instant(time.Hour)}
			s := newTestServer(clock)
			foreign.Addr, foreign.Slots, foreign.ListsKeys = "b:1", 7, true
			if first {
				s.HandleHeartbeat(foreign)
			}
			at := clock.now
			for i := int64(1); i < 30; i++ {
				s.HandleHeartbeat(newHeartbeat(5, i))
				clock.now = clock.now.Add(heartbeatInterval)
				s.checkSilence()
				if i == 3 && !first {
					s.HandleHeartbeat(foreign)
					at = clock.now
				}
				if clock.now.Sub(at) > 5*heartbeatInterval {
					to, leaving, ok := s.target("s")
					assert.Assert(t, ok && !leaving && to.ID == "i" && to.Addr == "a:1", "%s, first %t: %s later", name, first, clock.now.Sub(at))
				}
			}
		}
	}
}

// A server that replaces another, under its id or its own, is in use with its first heartbeat,
// and one whose time of day was set back as soon as the former one is lost.
func TestReplacementIsInUseAtOnce(t *testing.T) {
	for _, id := range []string{"i", "new"} {
		for _, born := range []int64{6, 4} {
			clock := &manualClock{now: ident.Instant(time.Hour)}
			s := newTestServer(clock)
			s.HandleHeartbeat(newHeartbeat(5, 900))
			clock.now = clock.now.Add(time.Second)
			hb := newHeartbeat(born, 1)
			hb.Instance.ID = id
			s.HandleHeartbeat(hb)
			if id != "i" || born < 5 {
				s.handleConnectionRefused(testOrigin) // by the former one, noticed late
			}
			if born < 5 {
				clock.now = clock.now.Add(heartbeatInterval)
				hb.Sequence++
				s.HandleHeartbeat(hb)
			}
			to, leaving, ok := s.target("s")
			assert.Assert(t, ok && !leaving && to.ID == id, "%s born %d", id, born)
			assert.Equal(t, s.rosterEntry().Instance, hb.Instance)
		}
	}
}

// A server left, another writer's heartbeat took its place and left too, and the server was in
// use again: its acknowledged leave was forgotten. The same in the next process of the daemon.
func TestLeaveOutlivesThatOfAnotherInstance(t *testing.T) {
	for _, restart := range []bool{false, true} {
		clock := &manualClock{now: ident.Instant(time.Hour)}
		s := newTestServer(clock)
		var saved roster.Departures
		stored := make(chan struct{})
		close(stored)
		s.saveDepartures = func(ds roster.Departures) <-chan struct{} { saved = ds; return stored }
		s.HandleHeartbeat(newHeartbeat(5, 1))
		s.HandleLeave("i")
		foreign := newHeartbeat(9, 1)
		foreign.Instance.ID, foreign.Draining = "x", true
		s.HandleHeartbeat(foreign)
		if restart {
			value, err := encodeDepartures(saved, clock.now)
			assert.NilError(t, err)
			s = newTestServer(clock)
			known, err := decodeDepartures(value, clock.now)
			assert.NilError(t, err)
			for _, d := range known {
				s.recordDeparture(d, sourceStore)
			}
		}
		for i := int64(2); i < 10; i++ {
			s.HandleHeartbeat(newHeartbeat(5, i))
			clock.now = clock.now.Add(heartbeatInterval)
			s.checkSilence()
		}
		to, leaving, ok := s.target("s")
		assert.Assert(t, to.ID == "i" && leaving && !ok, "restart %t: %+v", restart, to)
		assert.Equal(t, s.rosterEntry().State, roster.Draining)
	}
}

// Daemons of the release before wrote records of one departure.
func TestRecordOfOneDepartureIsRead(t *testing.T) {
	value, err := codec.Marshal(storedDeparture{Instance: roster.Instance{ID: "i", StartedMS: 5}, SinceMS: time.Now().UnixMilli()})
	assert.NilError(t, err)
	ds, err := decodeDepartures(value, ident.Instant(time.Hour))
	assert.NilError(t, err)
	assert.Assert(t, len(ds) == 1 && ds[0].Instance == roster.Instance{ID: "i", StartedMS: 5})
}

// Before a daemon knew a configuration, and so whether its server's service is divided by key, a
// heartbeat of another writer that only lacked the lists of keys ended the server's use for good.
func TestLeaveWithoutListsWaitsForAConfiguration(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	s := newTestServer(clock)
	known := false
	s.knowsConfig = func() bool { return known }
	s.ownership.agents = nil // made by the first configuration
	s.HandleHeartbeat(newHeartbeat(5, 1))
	foreign := newHeartbeat(5, 2)
	foreign.ListsKeys, foreign.Draining = false, true
	_, accepted := s.HandleHeartbeat(foreign)
	assert.Assert(t, !accepted)
	assert.Equal(t, s.rosterEntry().State, roster.Ready)
	known = true // the service is not divided by key: its servers list none
	_, accepted = s.HandleHeartbeat(foreign)
	assert.Assert(t, accepted)
	assert.Equal(t, s.rosterEntry().State, roster.Draining)
}

// Before a daemon knows a configuration, its server is one of the service of its settings. Every
// service counted as configured, so that another writer's server took its place.
func TestServiceOfTheSettingsCountsWithoutAConfiguration(t *testing.T) {
	service := ident.Service("s")
	c := &configFollower{localService: func() ident.Service { return service }}
	assert.Assert(t, c.isConfigured("s"))
	assert.Assert(t, !c.isConfigured("other"))
	c.table.Store(routes.NewTable(routes.Config{Version: 1, Services: map[ident.Service]routes.Service{"other": {Name: "other"}}}))
	assert.Assert(t, c.isConfigured("other"), "an address may go to a server of another service")
	assert.Assert(t, !c.isConfigured("s"))
}
