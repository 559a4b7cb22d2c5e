package sidecar

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// maxMissedHeartbeats is how many heartbeats a server may miss before it counts as lost.
const maxMissedHeartbeats = 3

// heartbeatInterval is the usual time between two heartbeats of a server.
const heartbeatInterval = 870 * time.Millisecond

// Limits of how far the sequence of an instance may be ahead of its last heartbeat here. A
// greater one is not of this server, and would make all its later heartbeats stale.
const (
	sequenceSlack       = 100
	maxHeartbeatsPerSec = 20
)

// drainMargin is subtracted from the time in which a leaving server may get requests, to
// cover the transmission of a request to the server.
const drainMargin = 500 * time.Millisecond

// server tracks the state of the backend server beside the daemon, from its heartbeats
// and from refused connections. It implements ServerPort.
type server struct {
	clock     ident.Clock
	ownership *ownership
	gate      *admitting.Gate
	log       *zap.Logger
	onChange  func() // called after a change that other daemons must learn of

	coldBound     func(ident.Service) admission.ColdBound         // what a cold server of a service tolerates
	isConfigured  func(ident.Service) bool                        // reports whether a service exists, by the configuration in force or the settings
	saveDeparture func(roster.Departure) (stored <-chan struct{}) // lets the next process of the daemon know a departure

	drainTime time.Duration // how long a leaving server may still get requests

	mu            sync.Mutex // guards the fields below
	instance      roster.Instance
	adoptedAt     ident.Instant // when the first heartbeat of instance arrived
	service       ident.Service
	addr          string
	slots         int
	sequence      int64            // of the last heartbeat
	departed      roster.Departure // the last one, also if its instance has sent no heartbeat yet
	lost          bool             // silent or refused a connection since its last heartbeat
	coldUntil     ident.Instant    // the server is slow until then; zero if it never was
	heldAt        ident.Instant    // an evacuation ended then, and no heartbeat sent since has arrived; zero if none
	heldHeartbeat bool             // one has arrived since heldAt
	lastHeartbeat ident.Instant
	statements    advisory.Tracker // what the server states in its answers
	published     float64          // its limit as the other daemons know it
}

// HandleHeartbeat implements ServerPort.
func (s *server) HandleHeartbeat(hb Heartbeat) *keyrange.Grant {
	var changed bool
	rejected := "without its lists of keys"
	if hb.ListsKeys || !s.ownership.grantsByHeartbeat(hb.Service) {
		changed, rejected = s.updateState(&hb, s.isConfigured(hb.Service))
	}
	if rejected != "" {
		s.log.Warn("server_heartbeat_rejected", zap.String("server", hb.Instance.ID), zap.String("service", string(hb.Service)),
			zap.Int64("born", hb.Instance.StartedMS), zap.Int64("sequence", hb.Sequence), zap.String("reason", rejected))
		return nil
	}
	if changed {
		s.log.Info("server_state", zap.String("server", hb.Instance.ID), zap.Int64("born", hb.Instance.StartedMS),
			zap.String("service", string(hb.Service)), zap.Bool("draining", hb.Draining), zap.Int("slots", hb.Slots))
		s.gate.SetSlots(hb.Slots, 0)
		s.onChange()
	}
	grant := s.ownership.handleHeartbeat(hb)
	if changed && hb.Draining {
		s.storeDeparture()
	}
	return grant
}

// updateState updates the state from a heartbeat; configured tells whether its service is. It
// reports whether other daemons must learn of the new state. If rejected is set, the heartbeat
// has no effect: it is from an earlier instance, out of order, or from another writer. A
// heartbeat that was sent before its instance announced its end becomes one of a draining
// server.
func (s *server) updateState(hb *Heartbeat, configured bool) (changed bool, rejected string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	same := hb.Instance == s.instance
	switch {
	case !same && !configured:
		return false, "of a service that is not configured"
	case !same && hb.Instance.StartedMS < s.instance.StartedMS:
		return false, "of an earlier instance"
	case same && hb.Sequence <= s.sequence:
		return false, "out of order"
	case same && float64(hb.Sequence-s.sequence) > sequenceSlack+maxHeartbeatsPerSec*now.Sub(s.lastHeartbeat).Seconds():
		return false, "sequence too far ahead"
	}
	wasLeaving := s.isLeaving()
	if s.departed.Expired(now) {
		s.departed = roster.Departure{}
	}
	hb.Draining = hb.Draining || s.departed.Covers(hb.Instance) // an acknowledged leave cannot be undone
	changed = !same || s.lost || wasLeaving != hb.Draining || s.slots != hb.Slots || s.service != hb.Service
	changed = s.updateCold(hb, same) || changed
	if hb.Draining {
		since := now
		if s.departed.Covers(hb.Instance) {
			since = s.departed.Since
		}
		s.departed = roster.Departure{Instance: hb.Instance, Since: since}
	}
	if !same {
		s.adoptedAt = now
		s.statements.SetInstance(hb.Instance)
		s.gate.SetLimit(s.statements.Limit())
		s.published = s.statements.Limit()
	}
	s.instance, s.service, s.addr, s.slots, s.sequence = hb.Instance, hb.Service, hb.Addr, hb.Slots, hb.Sequence
	s.lost, s.lastHeartbeat = false, now
	return changed, ""
}

// HandleLeave implements ServerPort. From now on the server gets no requests, except for
// keys that it holds, until their grants end.
func (s *server) HandleLeave(id string) {
	now := s.clock.Now()
	s.mu.Lock()
	d := roster.Departure{Instance: s.instance, Since: now}
	known := s.instance.ID == id
	if !known { // its heartbeats went to the previous process of the daemon
		d = roster.Departure{Instance: roster.Instance{ID: id, StartedMS: time.Now().UnixMilli()}, AnyStart: true, Since: now}
	}
	leaves := s.markLeaving(d)
	service := s.service
	s.mu.Unlock()
	s.log.Info("server_leaves", zap.String("server", id), zap.Bool("known", known))
	if leaves {
		s.ownership.handleServerLost(service)
		s.onChange()
	}
	s.storeDeparture()
}

// storeDeparture saves the departure of the server, and waits until it is stored, for
// departureAckDelay at most: what is acknowledged binds the next process of the daemon too.
func (s *server) storeDeparture() {
	s.mu.Lock()
	d := s.departed
	s.mu.Unlock()
	timer := time.NewTimer(departureAckDelay)
	defer timer.Stop()
	select {
	case <-s.saveDeparture(d):
	case <-timer.C:
		s.log.Warn("departure_not_stored_yet", zap.String("server", d.Instance.ID))
	}
}

// HandleMalformed implements ServerPort.
func (s *server) HandleMalformed(id string, err error) {
	s.log.Warn("server_heartbeat_malformed", zap.String("server", id), zap.Error(err))
}

// checkSilence marks the server as lost if it has sent no heartbeat for longer than
// maxMissedHeartbeats intervals.
func (s *server) checkSilence() {
	s.mu.Lock()
	silent := s.instance.ID != "" && !s.lost && s.clock.Now().Sub(s.lastHeartbeat) > maxMissedHeartbeats*heartbeatInterval
	if silent {
		s.lost = true
	}
	instance, service := s.instance, s.service
	s.mu.Unlock()
	if !silent {
		return
	}
	s.log.Warn("server_lost", zap.String("server", instance.ID), zap.String("service", string(service)))
	s.ownership.handleServerLost(service)
	s.onChange()
}

// handleConnectionRefused marks the server as lost because it refused a connection, until
// its next heartbeat.
func (s *server) handleConnectionRefused() {
	s.mu.Lock()
	first := !s.lost && s.instance.ID != ""
	s.lost = s.lost || first
	instance, service := s.instance, s.service
	s.mu.Unlock()
	if first {
		s.log.Warn("server_refuses", zap.String("server", instance.ID), zap.String("service", string(service)))
		s.ownership.handleServerLost(service)
		s.onChange()
	}
}

// target returns the server for requests of a service. ok is false if no live server here
// runs the service, or if the drain time of a leaving server, less drainMargin, is over.
// Until then a leaving server may get only requests for keys that it still holds.
func (s *server) target(service ident.Service) (t origin.Server, leaving, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance.ID == "" || s.service != service {
		return t, false, false
	}
	leaving = s.isLeaving()
	over := leaving && s.clock.Now().Sub(s.departed.Since) > s.drainTime-drainMargin
	return origin.Server{Addr: s.addr, ID: s.instance.ID}, leaving, !s.lost && !over
}

// isLeaving reports whether the server has announced its end. The caller holds s.mu.
func (s *server) isLeaving() bool { return s.departed.Covers(s.instance) }

// current returns the instance of the server, whether it has said that it will stop, and
// whether it has been lost since its last heartbeat.
func (s *server) current() (i roster.Instance, leaving, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance, s.isLeaving(), s.lost
}

// address returns the address and id of the server if it runs a service, whether it
// takes requests or not.
func (s *server) address(service ident.Service) (t origin.Server, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return origin.Server{Addr: s.addr, ID: s.instance.ID}, s.instance.ID != "" && s.service == service
}

// rosterEntry returns the state of the server as published to the other daemons.
func (s *server) rosterEntry() roster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := roster.Server{Instance: s.instance, Service: s.service, Slots: s.slots, Limit: s.published}
	switch {
	case s.instance.ID == "" || s.lost:
	case s.isLeaving():
		e.State = roster.Draining
	default:
		e.State = roster.Ready
	}
	cold := s.coldUntil.Sub(s.clock.Now())
	if s.heldAt != 0 {
		cold = max(cold, heldColdTime)
	}
	if cold > 0 {
		e.ColdMS = cold.Milliseconds()
	}
	return e
}
