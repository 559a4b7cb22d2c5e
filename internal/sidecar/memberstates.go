package sidecar

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const (
	statesInterval = time.Second             // between two requests for the states of the members
	statesTimeout  = 2 * time.Second         // age of the last states from which nobody is taken for silent by them
	maxStateAge    = 4 * time.Second         // signs of life that are older are not passed on
	relayedTimeout = 3500 * time.Millisecond // a member whose relayed sign of life is older does not count as alive
)

// memberStates tells the members of a service what a monitor knows from their heartbeats.
type memberStates struct {
	States []memberState `codec:"s"`
}

// memberState is the state of one member.
type memberState struct {
	//lint:ignore U1000 the codec reads its tag
	_struct     struct{} `codec:",toarray"`
	Member      ident.Member
	AgeMS       int64 // time since its last sign of life, in milliseconds
	Utilization float32
	LogCurrent  bool
}

// chooseMonitor returns the index of the monitor that this heartbeat asks for the states
// of all members, or -1. A monitor that does not answer is made up for by another choice
// with the next heartbeat.
func (p *peers) chooseMonitor(monitors int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	answered := p.statesAt >= p.statesAskedAt
	if monitors == 0 || answered && now.Sub(p.statesAskedAt) < statesInterval {
		return -1
	}
	p.statesAskedAt = now
	return rand.IntN(monitors)
}

// answerStates sends the states of a service's members to one of them. A monitor that
// does not hear at least half of the members has just become one, or is cut off: it does
// not answer, because the others would seem silent.
func (p *peers) answerStates(to roster.Entry, s ident.Service) {
	p.mu.Lock()
	now := p.clock.Now()
	var m memberStates
	members, heard := 0, 0
	p.roster.Each(func(q *roster.Peer) {
		if q.Server.Service != s {
			return
		}
		members++
		age := now.Sub(q.LastHeard)
		if age < aliveTimeout {
			heard++
		}
		if q.Member == p.self {
			age = 0
		}
		if q.LastHeard > 0 && age < maxStateAge {
			m.States = append(m.States, memberState{Member: q.Member, AgeMS: age.Milliseconds(), Utilization: float32(q.Utilization), LogCurrent: q.LogCurrent})
		}
	})
	p.mu.Unlock()
	if 2*heard >= members {
		p.send(to, typeMemberStates, m)
	}
}

// handleMemberStates records the signs of life that a monitor passes on.
func (p *peers) handleMemberStates(m memberStates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.statesAt = now
	for _, s := range m.States {
		if s.Member == p.self || s.AgeMS < 0 {
			continue
		}
		p.roster.MarkAliveAt(s.Member, now.Add(-time.Duration(s.AgeMS)*time.Millisecond))
		p.roster.SetLoad(s.Member, float64(s.Utilization), s.LogCurrent)
	}
}

// isAlive reports whether a member of a service counts as alive. A daemon that receives
// the members' heartbeats judges by them; any other one by the relayed signs of life, and
// only while these arrive. The caller holds p.mu.
func (p *peers) isAlive(q *roster.Peer, direct bool, now ident.Instant) bool {
	silent := now.Sub(q.LastHeard)
	switch {
	case q.Member == p.self:
		return true
	case direct:
		return silent < aliveTimeout
	case q.LastHeard == 0:
		return false
	}
	return silent < relayedTimeout || now.Sub(p.statesAt) > statesTimeout
}

// hearsMembers reports whether this daemon receives the heartbeats of a service's members.
func (p *peers) hearsMembers(s ident.Service, witnesses []ident.Host) bool {
	monitors, all := p.monitorsOf(s, witnesses)
	return all || slices.Contains(monitors, p.self.Host)
}
