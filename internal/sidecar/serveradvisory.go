package sidecar

import (
	"math"
	"slices"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// publishedLimitError is by what fraction the limit that the other daemons know may differ
// from the one in force beside the server. They only choose servers by it.
const publishedLimitError = 0.2

// Where the daemon learned of a limit or a leave, for the log.
const (
	sourceAnswer = "answer" // of the server
	sourcePeer   = "peer"   // a daemon that was told before this one started
)

// recordStatement records what the answer of the server with an id states about it. sent is
// when the request was sent; an answer to a request from before the present instance was
// known may come from an earlier one.
func (s *server) recordStatement(id string, st advisory.Statement, sent ident.Instant) {
	if st.InvalidLimit != "" {
		s.log.Warn("server_limit_invalid", zap.String("server", id), zap.String("limit", st.InvalidLimit))
	}
	s.applyAdvice(sourceAnswer, func() (leaves bool) {
		instance := s.inUse().Instance
		if instance.ID != id || sent < s.adoptedAt {
			return false
		}
		now := s.clock.Now()
		s.statements.RecordAnswer(instance, st, sent, now)
		return st.Leaving && s.markLeaving(roster.Departure{Instance: instance, Since: now})
	})
}

// recordPeerAdvisory applies what another daemon knows of the server from earlier
// answers. a may be nil.
func (s *server) recordPeerAdvisory(a *advisory.Advisory) {
	if a == nil {
		return
	}
	s.applyAdvice(sourcePeer, func() (leaves bool) {
		s.statements.RecordPeer(*a)
		return a.Leaving && s.markLeaving(roster.Departure{Instance: a.Instance, Since: a.LeavingSince})
	})
}

// recordDeparture applies a departure that was known before this process started.
func (s *server) recordDeparture(d roster.Departure, source string) {
	s.applyAdvice(source, func() (leaves bool) { return s.markLeaving(d) })
}

// applyAdvice calls update with s.mu locked. It then makes the gate, the ownership and the
// other daemons follow: a limit that update has changed, and a leave that it reports as new.
func (s *server) applyAdvice(source string, update func() (leaves bool)) {
	s.mu.Lock()
	before := s.statements.Limit()
	leaves := update()
	limit := s.statements.Limit()
	if limit != before {
		s.gate.SetLimit(limit)
	}
	published := s.publishLimit(limit)
	id, service, departures := s.inUse().Instance.ID, s.inUse().Service, slices.Clone(s.departures)
	s.mu.Unlock()
	if limit != before {
		s.log.Info("server_limit", zap.String("server", id), zap.Float64("per_second", limit), zap.Float64("before", before), zap.String("source", source))
	}
	if leaves {
		s.log.Info("server_states_leave", zap.String("server", id), zap.String("service", string(service)), zap.String("source", source))
		s.ownership.handleServerDraining(service)
		s.saveDepartures(departures)
	}
	if published || leaves {
		s.onChange()
	}
}

// markLeaving records a departure, and reports whether that of the present instance is
// new. One of an instance that is not known yet counts from its first heartbeat on. The
// caller holds s.mu.
func (s *server) markLeaving(d roster.Departure) bool {
	_, before := s.departure()
	s.departures.Record(d)
	_, after := s.departure()
	return after && !before
}

// publishLimit sets the limit that the other daemons know, and reports whether they must
// be told. Small changes are not told: a server may name another limit in each answer.
// The caller holds s.mu.
func (s *server) publishLimit(limit float64) bool {
	if math.Abs(limit-s.published) <= publishedLimitError*s.published && (limit == 0) == (s.published == 0) {
		return false
	}
	s.published = limit
	return true
}

// advisory returns what other daemons must know of the server, nil if nothing.
func (s *server) advisory() *advisory.Advisory {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.statements.Limit()
	d, leaving := s.departure()
	if limit == 0 && !leaving {
		return nil
	}
	return &advisory.Advisory{Instance: s.inUse().Instance, Limit: limit, Leaving: leaving, LeavingSince: d.Since}
}

// limit returns the limit that the server states, in requests per second; zero if there
// is none.
func (s *server) limit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.Limit()
}
