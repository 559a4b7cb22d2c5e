package sidecar

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
)

// rememberedHeartbeats is the number of recent peer heartbeats to which a witness's answer
// still counts. Support for an older heartbeat has expired.
const rememberedHeartbeats = 16

// startPeerHeartbeat begins a peer heartbeat for a service. It returns the sequence number
// of the heartbeat, the offset up to which this daemon has read the ownership stream, and
// the hosts that are the witnesses of this daemon.
func (o *ownership) startPeerHeartbeat(s ident.Service) (seq uint32, next ident.Offset, witnesses []ident.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	if a == nil {
		return 0, 0, nil
	}
	o.heartbeatSeq++
	now := o.clock.Now()
	o.heartbeatSent[o.heartbeatSeq%rememberedHeartbeats] = now
	if a.GrantSupport(o.self, a.NextOffset(), now) { // this daemon may be its own witness
		a.RecordSupport(o.self.Host, now)
	}
	return o.heartbeatSeq, a.NextOffset(), a.Witnesses()
}

// grantSupport decides, as a witness, whether to support another owner that has read the
// ownership stream up to next.
func (o *ownership) grantSupport(s ident.Service, owner ident.Member, next ident.Offset) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.GrantSupport(owner, next, o.clock.Now())
}

// recordSupport records the support of a witness, given in answer to heartbeat seq.
func (o *ownership) recordSupport(s ident.Service, by ident.Host, seq uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil && o.heartbeatSeq-seq < rememberedHeartbeats {
		a.RecordSupport(by, o.heartbeatSent[seq%rememberedHeartbeats])
	}
}

// collectConsents returns the suspicions to which this daemon consents as a witness, by
// service, and records its own consent to each.
func (o *ownership) collectConsents() map[ident.Service][]keyrange.Suspicion {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[ident.Service][]keyrange.Suspicion)
	now := o.clock.Now()
	for s, a := range o.agents {
		if c := a.Consents(now); len(c) > 0 {
			out[s] = c
			for _, u := range c {
				a.RecordConsent(o.self.Host, u)
			}
		}
	}
	return out
}

// recordConsent records the consent of a witness to a suspicion.
func (o *ownership) recordConsent(s ident.Service, by ident.Host, u keyrange.Suspicion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.RecordConsent(by, u)
	}
}

// tableIsCurrent reports whether the last read of a service's table is recent.
func (o *ownership) tableIsCurrent(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.TableIsCurrent(o.clock.Now())
}
