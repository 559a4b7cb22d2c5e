package sidecar

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// sample averages the load of the server over about a second.
func (p *peers) sample() {
	l, slots := p.gate.SlotUsage(), p.server.entry().Slots
	if slots <= 0 {
		return
	}
	now := float64(l.Running+l.Waiting) / float64(slots)
	p.mu.Lock()
	p.busy = (p.busy + now) / 2
	p.mu.Unlock()
}

// sendPulses tells the daemons of the same sharded service that this one lives.
func (p *peers) sendPulses() {
	s := p.server.entry()
	if !p.owners.sharded(s.Service) {
		return
	}
	seq, next, guards := p.owners.askSupport(s.Service)
	p.mu.Lock()
	message := pulse{Busy: float32(p.busy), Service: s.Service, Seq: seq, Next: next, Current: p.owners.current(s.Service)}
	p.mu.Unlock()
	to := p.choose(func(q *roster.Peer) bool {
		return q.Server.Service == s.Service || slices.Contains(guards, q.Member.Host)
	})
	for _, q := range to {
		p.send(q, typePulse, message)
	}
}

// sendConsents tells the daemons of each sharded service to which suspicions this
// guard consents.
func (p *peers) sendConsents() {
	for service, suspicions := range p.owners.consents() {
		to := p.choose(func(q *roster.Peer) bool { return q.Server.Service == service })
		for _, s := range suspicions {
			for _, q := range to {
				p.send(q, typeConsent, consent{Service: service, Suspicion: s})
			}
		}
	}
}

// onPulse takes in a sign of life, and answers it if this daemon is a guard that
// supports the sender.
func (p *peers) onPulse(from ident.Member, q pulse) {
	p.mu.Lock()
	p.roster.MarkAlive(from, p.clock.Now())
	p.roster.SetLoad(from, float64(q.Busy), q.Current)
	sender, known := p.roster.Get(from.Host)
	p.mu.Unlock()
	if known && p.owners.supportFor(q.Service, from, q.Next) {
		p.send(sender.Entry, typeSupport, support{Service: q.Service, Seq: q.Seq})
	}
}
