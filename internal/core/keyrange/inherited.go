package keyrange

import "github.com/burdockfold/burdockfold/internal/core/ident"

// A daemon that has just started does not know what its previous process granted, nor in
// the answers to which heartbeats. A heartbeat that lists no keys may have been sent before
// the server received them, and held up until after the restart. It proves a release only
// if an earlier heartbeat listed the keys under the fencing token of their row: that one
// was sent after the grant.

// inheritedGrants is what an agent knows of the grants that the daemon's previous process
// made to the present instance of the server.
type inheritedGrants struct {
	end      ident.Instant // none of them is valid after this instant
	reported []HeldRange   // listed by a heartbeat of the present instance before end
}

// recordHeld records the ranges that a heartbeat lists. Once all inherited grants have
// expired it forgets them.
func (g *inheritedGrants) recordHeld(held []HeldRange, now ident.Instant) {
	if now > g.end {
		g.reported = nil
		return
	}
	for _, h := range held {
		if !g.hasReported(h) {
			g.reported = append(g.reported, h)
		}
	}
}

func (g *inheritedGrants) hasReported(h HeldRange) bool {
	parts := []Span{h.Span}
	for _, o := range g.reported {
		if o.Fence == h.Fence {
			parts = subtractAll(parts, o.Span)
		}
	}
	return len(parts) == 0
}

// precede reports whether the server had received the inherited grants of a span, if there
// were any, when it sent its last heartbeat, or whether they have expired.
func (g *inheritedGrants) precede(s Span, t Table, now ident.Instant) bool {
	if now > g.end {
		return true
	}
	for _, r := range t.Rows {
		if r.Overlaps(s) && !g.hasReported(HeldRange{r.intersect(s), r.Fence}) {
			return false
		}
	}
	return true
}
