package sidecar

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/succession"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// maxMissedHeartbeats is how many heartbeats a server may miss before it counts as lost.
const maxMissedHeartbeats = 3

// heartbeatInterval is the usual time between two heartbeats of a server.
const heartbeatInterval = 870 * time.Millisecond

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

	coldBound      func(ident.Service) admission.ColdBound          // what a cold server of a service tolerates
	isConfigured   func(ident.Service) bool                         // reports whether a service exists, by the configuration in force or the settings
	knowsConfig    func() bool                                      // reports whether a configuration is in force
	saveDepartures func(roster.Departures) (stored <-chan struct{}) // lets the next process of the daemon know them

	drainTime time.Duration // how long a leaving server may still get requests

	mu            sync.Mutex // guards the fields below
	instances     *succession.Tracker
	adoptedAt     ident.Instant // when the first heartbeat of the instance in use arrived
	slots         int
	departures    roster.Departures // also of instances that have sent no heartbeat yet, or are no longer in use
	coldUntil     ident.Instant     // the server is slow until then; zero if it never was
	heldAt        ident.Instant     // an evacuation ended then, and no heartbeat sent since has arrived; zero if none
	heldHeartbeat bool              // one has arrived since heldAt
	statements    advisory.Tracker  // what the server states in its answers
	published     float64           // its limit as the other daemons know it
}

// newTracker returns a tracker that knows no instance of the server beside the daemon.
func newTracker() *succession.Tracker {
	return succession.New(succession.Config{Interval: heartbeatInterval, Silence: maxMissedHeartbeats * heartbeatInterval})
}

// HandleHeartbeat implements ServerPort.
func (s *server) HandleHeartbeat(hb Heartbeat) (g *keyrange.Grant, accepted bool) {
	if !hb.ListsKeys && s.mustListKeys(&hb) {
		s.logRejected(&hb, "without its lists of keys")
		return nil, false
	}
	changed, adoption, outcome := s.updateState(&hb, s.isConfigured(hb.Service))
	if !outcome.Accepted() {
		s.logRejected(&hb, outcome.String())
		return nil, false
	}
	if changed {
		s.log.Info("server_state", zap.String("server", hb.Instance.ID), zap.Int64("born", hb.Instance.StartedMS),
			zap.String("service", string(hb.Service)), zap.Bool("draining", hb.Draining), zap.Int("slots", hb.Slots), zap.Uint64("adoption", adoption))
		s.gate.SetSlots(hb.Slots, 0)
		s.onChange()
	}
	g = s.ownership.handleHeartbeat(hb, adoption)
	if changed && hb.Draining {
		s.storeDepartures()
	}
	return g, true
}

// mustListKeys reports whether a heartbeat has no effect without its lists of keys. Before the
// first configuration it is not known which services are divided by key: what cannot be taken
// back waits for it.
func (s *server) mustListKeys(hb *Heartbeat) bool {
	return s.ownership.grantsByHeartbeat(hb.Service) || hb.Draining && !s.knowsConfig()
}

func (s *server) logRejected(hb *Heartbeat, reason string) {
	s.log.Warn("server_heartbeat_rejected", zap.String("server", hb.Instance.ID), zap.String("service", string(hb.Service)),
		zap.Int64("born", hb.Instance.StartedMS), zap.Int64("sequence", hb.Sequence), zap.String("reason", reason))
}

// updateState updates the state from a heartbeat; configured tells whether its service is. It
// reports whether other daemons must learn of the new state, and the number of the instance in
// use. A heartbeat that is not accepted has no effect. One that was sent before its instance
// announced its end becomes one of a draining server.
func (s *server) updateState(hb *Heartbeat, configured bool) (changed bool, adoption uint64, outcome succession.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	_, wasLeaving := s.departure()
	wasLost := s.instances.Lost()
	outcome = s.instances.HandleHeartbeat(succession.Heartbeat{
		Identity: succession.Identity{Instance: hb.Instance, Service: hb.Service, Addr: hb.Addr}, Sequence: hb.Sequence, Configured: configured,
	}, now)
	if !outcome.Accepted() {
		return false, 0, outcome
	}
	same := outcome == succession.Continued
	left, leaves := s.departures.Of(hb.Instance, now)
	hb.Draining = hb.Draining || leaves // an acknowledged leave cannot be undone
	changed = !same || wasLost || wasLeaving != hb.Draining || s.slots != hb.Slots
	changed = s.updateCold(hb, same) || changed
	if hb.Draining {
		d := roster.Departure{Instance: hb.Instance, Since: now}
		if leaves {
			d.Since = left.Since
		}
		s.departures.Record(d)
	}
	if !same {
		s.adoptedAt = now
		s.statements.SetInstance(hb.Instance)
		s.gate.SetLimit(s.statements.Limit())
		s.published = s.statements.Limit()
	}
	s.slots = hb.Slots
	return changed, s.instances.Adoptions(), outcome
}

// inUse returns the identity of the instance in use, zero if there is none. The caller holds
// s.mu.
func (s *server) inUse() succession.Identity {
	i, _ := s.instances.Current()
	return i
}

// HandleLeave implements ServerPort. From now on the server gets no requests, except for
// keys that it holds, until their grants end.
func (s *server) HandleLeave(id string) {
	now := s.clock.Now()
	s.mu.Lock()
	inUse := s.inUse()
	d := roster.Departure{Instance: inUse.Instance, Since: now}
	known := inUse.Instance.ID == id
	if !known { // its heartbeats went to the previous process of the daemon
		d = roster.Departure{Instance: roster.Instance{ID: id, StartedMS: time.Now().UnixMilli()}, AnyStart: true, Since: now}
	}
	leaves := s.markLeaving(d)
	s.mu.Unlock()
	s.log.Info("server_leaves", zap.String("server", id), zap.Bool("known", known))
	if leaves {
		s.ownership.handleServerLost(inUse.Service)
		s.onChange()
	}
	s.storeDepartures()
}

// storeDepartures saves the departures of the servers here, and waits until they are stored, for
// departureAckDelay at most: what is acknowledged binds the next process of the daemon too.
func (s *server) storeDepartures() {
	s.mu.Lock()
	ds, id := slices.Clone(s.departures), s.inUse().Instance.ID
	s.mu.Unlock()
	timer := time.NewTimer(departureAckDelay)
	defer timer.Stop()
	select {
	case <-s.saveDepartures(ds):
	case <-timer.C:
		s.log.Warn("departure_not_stored_yet", zap.String("server", id))
	}
}

// HandleMalformed implements ServerPort.
func (s *server) HandleMalformed(id string, err error) {
	s.log.Warn("server_heartbeat_malformed", zap.String("server", id), zap.Error(err))
}

// checkSilence marks the server as lost if it has sent no heartbeat for longer than
// maxMissedHeartbeats intervals.
func (s *server) checkSilence() {
	s.handleLoss("server_lost", func() bool { return s.instances.CheckSilence(s.clock.Now()) })
}

// handleConnectionRefused marks the server as lost because it refused a connection, until
// its next heartbeat. It does nothing if another server is in use by now.
func (s *server) handleConnectionRefused(by origin.Server) {
	s.handleLoss("server_refuses", func() bool { return s.origin() == by && s.instances.MarkLost() })
}

// isInUse reports whether a server is the one in use.
func (s *server) isInUse(t origin.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origin() == t
}

// origin returns the address and id of the server. The caller holds s.mu.
func (s *server) origin() origin.Server {
	inUse := s.inUse()
	return origin.Server{Addr: inUse.Addr, ID: inUse.Instance.ID}
}

// handleLoss calls mark with s.mu locked, and logs and tells the ownership and the other daemons
// that the server is lost if mark reports that this is new.
func (s *server) handleLoss(event string, mark func() bool) {
	s.mu.Lock()
	lost, inUse := mark(), s.inUse()
	s.mu.Unlock()
	if !lost {
		return
	}
	s.log.Warn(event, zap.String("server", inUse.Instance.ID), zap.String("service", string(inUse.Service)))
	s.ownership.handleServerLost(inUse.Service)
	s.onChange()
}

// target returns the server for requests of a service. ok is false if no live server here
// runs the service, or if the drain time of a leaving server, less drainMargin, is over.
// Until then a leaving server may get only requests for keys that it still holds.
func (s *server) target(service ident.Service) (t origin.Server, leaving, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.inUse()
	if inUse.Instance.ID == "" || inUse.Service != service {
		return t, false, false
	}
	d, leaving := s.departure()
	over := leaving && s.clock.Now().Sub(d.Since) > s.drainTime-drainMargin
	return s.origin(), leaving, !s.instances.Lost() && !over
}

// departure returns the departure of the server, if it has announced its end. The caller holds
// s.mu.
func (s *server) departure() (d roster.Departure, leaving bool) {
	return s.departures.Of(s.inUse().Instance, s.clock.Now())
}

// current returns the instance of the server, whether it has said that it will stop, and
// whether it has been lost since its last heartbeat.
func (s *server) current() (i roster.Instance, leaving, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, leaving = s.departure()
	return s.inUse().Instance, leaving, s.instances.Lost()
}

// address returns the address and id of the server if it runs a service, whether it
// takes requests or not.
func (s *server) address(service ident.Service) (t origin.Server, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.inUse()
	return s.origin(), inUse.Instance.ID != "" && inUse.Service == service
}

// rosterEntry returns the state of the server as published to the other daemons.
func (s *server) rosterEntry() roster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.inUse()
	_, leaving := s.departure()
	e := roster.Server{Instance: inUse.Instance, Service: inUse.Service, Slots: s.slots, Limit: s.published}
	switch {
	case inUse.Instance.ID == "" || s.instances.Lost():
	case leaving:
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
