package sidecar

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// silentBeats is how many heartbeats a server may miss until it counts as lost.
const silentBeats = 3

// beatInterval is the usual time between two heartbeats.
const beatInterval = 870 * time.Millisecond

// drainMargin is taken off the time in which a leaving server may get work: for the
// way of a request to it.
const drainMargin = 500 * time.Millisecond

// server is what the daemon knows of the backend server beside it. It implements
// ServerPort.
type server struct {
	clock  ident.Clock
	owners *owners
	gate   *admitting.Gate
	log    *zap.Logger
	change func() // tells the other daemons

	drainTime time.Duration // in which a server that leaves may still get work

	mu       sync.Mutex // guards the fields below
	life     roster.Instance
	service  ident.Service
	addr     string
	slots    int
	sequence int64
	leaving  bool          // it drains or has taken its leave
	leftAt   ident.Instant // since when
	lost     bool
	cold     ident.Instant // it is slow until then
	beatAt   ident.Instant
}

// HandleHeartbeat implements ServerPort.
func (s *server) HandleHeartbeat(r Heartbeat) *keyrange.Grant {
	changed, stale := s.note(r)
	if stale {
		s.log.Warn("server_heartbeat_stale", zap.String("server", r.Instance.ID), zap.Int64("born", r.Instance.StartedMS), zap.Int64("sequence", r.Sequence))
		return nil
	}
	if changed {
		s.log.Info("server_state", zap.String("server", r.Instance.ID), zap.Int64("born", r.Instance.StartedMS),
			zap.String("service", string(r.Service)), zap.Bool("draining", r.Draining), zap.Int("slots", r.Slots))
		s.gate.SetSlots(r.Slots, 0)
		s.change()
	}
	return s.owners.beat(r)
}

// note takes in a heartbeat and reports whether it changes what the daemon
// believes, and whether it is one of an earlier life.
func (s *server) note(r Heartbeat) (changed, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	same := r.Instance == s.life
	switch {
	case !same && r.Instance.StartedMS < s.life.StartedMS:
		return false, true
	case same && r.Sequence <= s.sequence:
		return false, true
	case same && s.leaving && !r.Draining:
		r.Draining = true // what was acknowledged holds
	}
	changed = !same || s.lost || s.leaving != r.Draining || s.slots != r.Slots || s.service != r.Service
	if !same || r.ColdFor > 0 {
		s.cold = now.Add(r.ColdFor)
	}
	if r.Draining && (!s.leaving || !same) {
		s.leftAt = now
	}
	s.life, s.service, s.addr, s.slots, s.sequence = r.Instance, r.Service, r.Addr, r.Slots, r.Sequence
	s.leaving, s.lost, s.beatAt = r.Draining, false, now
	return changed, false
}

// HandleLeave implements ServerPort. Nothing new reaches the server from now on; keys
// that it holds are served until their grants end.
func (s *server) HandleLeave(id string) {
	s.mu.Lock()
	known := s.life.ID == id && !s.leaving
	if known {
		s.leaving, s.leftAt = true, s.clock.Now()
	}
	service := s.service
	s.mu.Unlock()
	s.log.Info("server_leaves", zap.String("server", id), zap.Bool("known", known))
	if known {
		s.owners.serverLost(service)
		s.change()
	}
}

// HandleMalformed implements ServerPort.
func (s *server) HandleMalformed(id string, err error) {
	s.log.Warn("server_heartbeat_malformed", zap.String("server", id), zap.Error(err))
}

// check marks a server as lost that has been silent.
func (s *server) check() {
	s.mu.Lock()
	silent := s.life.ID != "" && !s.lost && s.clock.Now().Sub(s.beatAt) > silentBeats*beatInterval
	if silent {
		s.lost = true
	}
	life, service := s.life, s.service
	s.mu.Unlock()
	if !silent {
		return
	}
	s.log.Warn("server_lost", zap.String("server", life.ID), zap.String("service", string(service)))
	s.owners.serverLost(service)
	s.change()
}

// refused notes that a connection to the server was refused.
func (s *server) refused() {
	s.mu.Lock()
	first := !s.lost && s.life.ID != ""
	s.lost = s.lost || first
	life, service := s.life, s.service
	s.mu.Unlock()
	if first {
		s.log.Warn("server_refuses", zap.String("server", life.ID), zap.String("service", string(service)))
		s.owners.serverLost(service)
		s.change()
	}
}

// target returns where requests of a service go; ok is false if no server runs
// it here, or if it was acknowledged too long ago that the server leaves. Until
// then a leaving server gets only work for keys that it still holds.
func (s *server) target(service ident.Service) (t origin.Server, leaving, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.ID == "" || s.service != service {
		return t, false, false
	}
	over := s.leaving && s.clock.Now().Sub(s.leftAt) > s.drainTime-drainMargin
	return origin.Server{Addr: s.addr, ID: s.life.ID}, s.leaving, !s.lost && !over
}

// entry returns what the other daemons are told of the server.
func (s *server) entry() roster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := roster.Server{Instance: s.life, Service: s.service, Slots: s.slots}
	switch {
	case s.life.ID == "" || s.lost:
	case s.leaving:
		e.State = roster.Draining
	default:
		e.State = roster.Ready
	}
	if cold := s.cold.Sub(s.clock.Now()); cold > 0 {
		e.ColdMS = cold.Milliseconds()
	}
	return e
}
