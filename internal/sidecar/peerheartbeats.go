package sidecar

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// sampleUtilization updates the moving average of the server's utilization, which covers
// about a second.
func (p *peers) sampleUtilization() {
	l, slots := p.gate.SlotUsage(), p.server.rosterEntry().Slots
	if slots <= 0 {
		return
	}
	now := float64(l.Running+l.Waiting) / float64(slots)
	p.mu.Lock()
	p.utilization = (p.utilization + now) / 2
	p.mu.Unlock()
}

// sendPeerHeartbeats sends a heartbeat to the daemons of the same sharded service and to
// the witnesses of this daemon.
func (p *peers) sendPeerHeartbeats() {
	s := p.server.rosterEntry()
	if !p.ownership.isSharded(s.Service) {
		return
	}
	seq, next, witnesses := p.ownership.startPeerHeartbeat(s.Service)
	p.mu.Lock()
	message := peerHeartbeat{Utilization: float32(p.utilization), Service: s.Service, Seq: seq, NextOffset: next, LogCurrent: p.ownership.tableIsCurrent(s.Service)}
	p.mu.Unlock()
	to := p.heartbeatTargets(s.Service, witnesses)
	ask := -1
	if !p.hearsMembers(s.Service, witnesses) {
		ask = p.chooseMonitor(len(to))
	}
	for i, q := range to {
		message.WantStates = i == ask
		p.send(q, typePeerHeartbeat, message)
	}
}

// sendConsents sends the suspicions to which this daemon consents as a witness to the
// daemons of the service concerned.
func (p *peers) sendConsents() {
	for service, suspicions := range p.ownership.collectConsents() {
		to := p.selectPeers(func(q *roster.Peer) bool { return q.Server.Service == service })
		for _, s := range suspicions {
			for _, q := range to {
				p.send(q, typeConsent, consent{Service: service, Suspicion: s})
			}
		}
	}
}

// handlePeerHeartbeat records that the sender is alive, with its load. It answers with
// support if this daemon is a witness that supports the sender.
func (p *peers) handlePeerHeartbeat(from ident.Member, q peerHeartbeat) {
	p.mu.Lock()
	p.roster.MarkAlive(from, p.clock.Now())
	p.roster.SetLoad(from, float64(q.Utilization), q.LogCurrent)
	sender, known := p.roster.Get(from.Host)
	p.mu.Unlock()
	if known && q.WantStates {
		p.answerStates(sender.Entry, q.Service)
	}
	if known && p.ownership.grantSupport(q.Service, from, q.NextOffset) {
		p.send(sender.Entry, typeSupport, support{Service: q.Service, Seq: q.Seq})
	}
}
