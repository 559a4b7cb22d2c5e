package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/settings"
)

// coldBoundOf returns what a service of a routing table tolerates while one of its servers is
// cold. t may be nil.
func coldBoundOf(t *routes.Table, s ident.Service, c settings.Cold) admission.ColdBound {
	if t == nil {
		return admission.ColdBound{}
	}
	rate := t.Services[s].ColdRate
	return admission.ColdBound{Rate: rate, PerSecond: rate*c.Factor + c.Slack}
}

// updateCold takes the cold time from a heartbeat, and reports whether other daemons must learn
// of it: the server has become cold, or is no longer held for cold. A heartbeat without one
// leaves the end as an earlier heartbeat stated it. The caller holds s.mu.
func (s *server) updateCold(hb *Heartbeat, sameInstance bool) (changed bool) {
	now := s.clock.Now()
	switch {
	case s.heldAt == 0:
	case sameInstance && s.heldHeartbeat && now.Sub(s.heldAt) >= heartbeatDelay:
		s.heldAt = 0
		s.coldUntil = max(s.coldUntil, now) // warmed in steps, also if it was never cold
		changed = true
	default:
		s.heldHeartbeat = true
	}
	switch {
	case hb.ColdFor > 0:
		if !sameInstance || now >= s.coldUntil {
			s.logCold(hb)
			changed = true
		}
		s.coldUntil = now.Add(hb.ColdFor)
	case !sameInstance:
		s.coldUntil = 0
	}
	s.boundCold(hb.Service)
	return changed
}

// suspectTime is how long a server that may be cold is bounded: the heartbeat that says so comes
// meanwhile, also if one is lost.
const suspectTime = 2 * heartbeatInterval

// suspectCold bounds the server for suspectTime as if it were cold: servers of its failure
// domain have become cold, or may have, and its own next heartbeat is still to come.
func (s *server) suspectCold() { s.gate.SuspectCold(s.clock.Now().Add(suspectTime)) }

// suspectColdBy suspects the own server if a server of this failure domain has become cold while
// it ran: whatever has emptied its caches may have met all of the domain. old is the peer
// before its entry was merged.
func (p *peers) suspectColdBy(old, merged roster.Peer) {
	now := p.clock.Now()
	if merged.Location.FailureDomain == p.location.FailureDomain && merged.Member != p.self && old.Server.Instance.ID != "" &&
		old.Server.Instance == merged.Server.Instance && now >= old.ColdUntil && p.isBoundCold(&merged, now) {
		p.server.suspectCold()
	}
}

// boundCold makes the gate start no more requests than a cold server of a service tolerates.
// The caller holds s.mu.
func (s *server) boundCold(service ident.Service) {
	until := s.coldUntil
	if s.heldAt != 0 {
		until = max(until, s.clock.Now().Add(heldTime))
	}
	s.gate.SetCold(s.coldBound(service), until)
}

// Times after the end of an evacuation.
const (
	heartbeatDelay = 200 * time.Millisecond // within which a heartbeat usually arrives; several that were held up may come at once
	heldTime       = time.Hour              // that the server counts as cold without a heartbeat
	heldColdTime   = 3 * time.Second        // that other daemons are told meanwhile: some heartbeats, after which the server counts as lost
)

// holdCold makes the server count as cold until a heartbeat that it sends from now on: after an
// evacuation it may have become cold without the daemon's knowledge. The first heartbeat to
// arrive may have been sent seconds ago; the one after it was sent after the answer to it.
func (s *server) holdCold() {
	s.mu.Lock()
	s.heldAt, s.heldHeartbeat = s.clock.Now(), false
	s.boundCold(s.inUse().Service)
	s.mu.Unlock()
	s.onChange()
}

// handleConfig is called when another configuration is in force.
func (s *server) handleConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boundCold(s.inUse().Service)
}

// logCold logs that the server has become cold, if its service bounds what it gets.
func (s *server) logCold(hb *Heartbeat) {
	if b := s.coldBound(hb.Service); b.Rate > 0 {
		s.log.Info("server_cold", zap.String("server", hb.Instance.ID), zap.String("service", string(hb.Service)),
			zap.Duration("for", hb.ColdFor), zap.Float64("per_second", b.Rate))
	}
}

// isBoundCold reports whether the server beside a daemon is cold and its service bounds what a
// cold server gets.
func (p *peers) isBoundCold(q *roster.Peer, now ident.Instant) bool {
	return now < q.ColdUntil && p.server.coldBound(q.Server.Service).Rate > 0
}
