package keyrange

import (
	"time"

	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// lateHeartbeat is a heartbeat that is held up on its way. The server does not wait for its
// answer.
type lateHeartbeat struct {
	Heartbeat
	due ident.Instant
}

func (sim *simulation) sendHeartbeat(h *host) {
	if sim.now < h.nextHeartbeatAt || sim.now < h.heartbeatsLostUntil {
		return
	}
	h.nextHeartbeatAt = sim.now.Add(400 * time.Millisecond)
	b := sim.nextHeartbeat(h)
	if !sim.faultless && rapid.IntRange(0, 9).Draw(sim.t, "heartbeat held up") == 0 {
		due := sim.now.Add(time.Duration(rapid.IntRange(10, 60).Draw(sim.t, "late")) * stepInterval)
		h.lateHeartbeats = append(h.lateHeartbeats, lateHeartbeat{b, due})
		b = sim.nextHeartbeat(h)
	}
	if sim.now < h.replacedUntil {
		return
	}
	sent := sim.now
	b.Adoption = h.adoption
	g := h.agent.HandleHeartbeat(b, sim.now)
	if !sim.faultless && rapid.IntRange(0, 19).Draw(sim.t, "answer lost") == 0 {
		return
	}
	h.released = nil
	if g != nil {
		sim.applyGrant(h, g, sent)
	}
}

// nextHeartbeat returns what the server says of itself now.
func (sim *simulation) nextHeartbeat(h *host) Heartbeat {
	h.sequence++
	b := Heartbeat{Instance: h.instance, Sequence: h.sequence, Draining: h.draining, Released: h.released}
	if sim.mode == GrantByHeartbeat {
		for _, x := range h.holdings {
			b.Held = append(b.Held, HeldRange{x.Span, x.fence})
		}
	}
	return b
}

// deliverLateHeartbeats delivers the heartbeats that were held up, to whichever process of
// the daemon runs now. The server has given up on their answers.
func (sim *simulation) deliverLateHeartbeats(h *host) {
	kept := h.lateHeartbeats[:0]
	for _, l := range h.lateHeartbeats {
		if sim.now < l.due {
			kept = append(kept, l)
			continue
		}
		if sim.now >= h.replacedUntil {
			l.Adoption = h.adoption
			h.agent.HandleHeartbeat(l.Heartbeat, sim.now)
		}
	}
	h.lateHeartbeats = kept
}

// deliverForeignHeartbeat delivers one heartbeat of an instance that does not exist and
// started after the server. The daemon takes it for the server's successor until an instant,
// from which on it believes the server's heartbeats again.
func (sim *simulation) deliverForeignHeartbeat(h *host, until ident.Instant) {
	if !h.isRunning(sim.now) {
		return
	}
	h.adoption++
	h.agent.HandleHeartbeat(Heartbeat{
		Instance: roster.Instance{ID: "foreign", StartedMS: h.instance.StartedMS + 1}, Adoption: h.adoption,
		Sequence: 1, Draining: rapid.Bool().Draw(sim.t, "foreign drains"),
	}, sim.now)
	h.adoption++
	h.replacedUntil = until
}

// applyGrant does what a server does with a grant: it holds the granted rows and
// releases the others.
func (sim *simulation) applyGrant(h *host, g *Grant, sent ident.Instant) {
	before := h.holdings
	h.holdings = nil
	until := sent.Add(g.Hold + g.Hold/50)
	for _, r := range g.Rows {
		h.holdings = append(h.holdings, holding{r.Span, r.Fence, until})
		for _, k := range probeKeys {
			if r.Contains(k) {
				sim.recordAcquisition(h, k, r.Fence)
			}
		}
	}
	for _, b := range before {
		parts := []Span{b.Span}
		for _, r := range g.Rows {
			var rest []Span
			for _, p := range parts {
				rest = append(rest, p.subtract(r.Span)...)
			}
			parts = rest
		}
		for _, p := range parts {
			h.released = append(h.released, ReleasedRange{p, "token"})
			h.nextHeartbeatAt = sim.now
		}
	}
}

// recordAcquisition records that a server acquired a key. Its fencing token must
// be greater than that of another server that held the key before.
func (sim *simulation) recordAcquisition(h *host, k Key, fence uint64) {
	if sim.lastHolder[k] != h.name && sim.lastHolder[k] != "" && fence <= sim.lastFence[k] {
		sim.t.Fatalf("%s took key %d with fence %d, %s had it with %d", h.name, k, fence, sim.lastHolder[k], sim.lastFence[k])
	}
	sim.lastHolder[k], sim.lastFence[k] = h.name, max(fence, sim.lastFence[k])
}
