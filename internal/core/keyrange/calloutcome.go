package keyrange

import "github.com/burdockfold/burdockfold/internal/core/ident"

// ApplyCallOutcome applies the outcome of a call; token is the transfer token of a
// confirmed release. An outcome of a call to an earlier instance has no effect.
func (a *Agent) ApplyCallOutcome(c Call, o CallOutcome, token string, now ident.Instant) {
	if c.Instance != a.instance {
		return
	}
	if o != CallDone {
		a.calls.retryAt = now.Add(callRetryDelay)
	}
	if c.Kind == CallGrant {
		a.applyGrantOutcome(c, o)
		return
	}
	a.applyReleaseOutcome(c, o, token)
}

func (a *Agent) applyGrantOutcome(c Call, o CallOutcome) {
	if o == CallFenced {
		if a.calls.fenced == nil {
			a.calls.fenced = make(map[uint64]bool)
		}
		a.calls.fenced[c.Fence] = true
	}
	kept := a.calls.grants[:0]
	for _, g := range a.calls.grants {
		switch {
		case g.callID == c.ID && o == CallDone:
			g.status = callConfirmed
		case g.callID == c.ID && o == CallUnclear:
			g.status = callUnclear
		case g.callID == c.ID: // not carried out
			continue
		case o == CallDone && g.status == callConfirmed && g.fence == c.Fence && c.Covers(g.Span):
			continue // replaced by its renewal
		}
		kept = append(kept, g)
	}
	a.calls.grants = kept
}

// applyReleaseOutcome drops the grants that a confirmed release ended. It keeps
// unanswered grants, because the server may still apply them.
func (a *Agent) applyReleaseOutcome(c Call, o CallOutcome, token string) {
	kept := a.calls.releases[:0]
	for _, r := range a.calls.releases {
		if r.callID != c.ID {
			kept = append(kept, r)
		}
	}
	a.calls.releases = kept
	if o != CallDone {
		return
	}
	a.replaceGrants(c.Span, func(part sentGrant) (sentGrant, bool) {
		part.released = true
		return part, part.status == callUnclear
	})
	if token != "" {
		a.recordReleased(ReleasedRange{c.Span, token})
	}
}

// isReleasedByCall reports whether no grant that was sent to the server can be valid
// for a key of the span.
func (a *Agent) isReleasedByCall(s Span, now ident.Instant) bool {
	if now <= a.inherited.end {
		return false
	}
	for _, g := range a.calls.grants {
		if now <= g.end && g.Overlaps(s) {
			return false
		}
	}
	return true
}

// holdsByCall reports whether a confirmed grant covers a key now.
func (a *Agent) holdsByCall(k Key, fence uint64, now ident.Instant) bool {
	for _, g := range a.calls.grants {
		if g.status == callConfirmed && g.fence == fence && g.Contains(k) && now < g.usable {
			return true
		}
	}
	return false
}
