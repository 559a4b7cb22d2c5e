package sidecar

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
)

// askedPulses is how many pulses back a guard's answer still counts; support of
// an older one has run out.
const askedPulses = 16

// askSupport starts a pulse: it returns its sequence, how far this daemon has read,
// and the guards.
func (o *owners) askSupport(s ident.Service) (seq uint32, next ident.Offset, guards []ident.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	if a == nil {
		return 0, 0, nil
	}
	o.seq++
	now := o.clock.Now()
	o.asked[o.seq%askedPulses] = now
	if a.GrantSupport(o.self, a.NextOffset(), now) { // this daemon may be a guard itself
		a.RecordSupport(o.self.Host, now)
	}
	return o.seq, a.NextOffset(), a.Witnesses()
}

// supportFor decides as a guard about another owner.
func (o *owners) supportFor(s ident.Service, owner ident.Member, next ident.Offset) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.GrantSupport(owner, next, o.clock.Now())
}

// supported takes in a guard's answer to a pulse.
func (o *owners) supported(s ident.Service, by ident.Host, seq uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil && o.seq-seq < askedPulses {
		a.RecordSupport(by, o.asked[seq%askedPulses])
	}
}

// consents returns the suspicions that this daemon consents to as a guard.
func (o *owners) consents() map[ident.Service][]keyrange.Suspicion {
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

// consented takes in the consent of a guard.
func (o *owners) consented(s ident.Service, by ident.Host, u keyrange.Suspicion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a := o.agents[s]; a != nil {
		a.RecordConsent(by, u)
	}
}

// current reports whether the tables were read just now.
func (o *owners) current(s ident.Service) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	return a != nil && a.TableIsCurrent(o.clock.Now())
}
