package keyrange

import (
	"time"

	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// shareRead lets a host ask another one how old its last read is, as the daemons of a
// failure domain do. The instant of that read is bounded by the instant of the request.
func (sim *simulation) shareRead(h *host) {
	if (int64(sim.now)/int64(stepInterval))%4 != 0 {
		return
	}
	source := rapid.SampledFrom(sim.hosts).Draw(sim.t, "source")
	if source == h {
		return
	}
	asked := sim.now
	sim.send(h, source, func() {
		if source.readSent == 0 {
			return
		}
		next, age := source.readNext, sim.now.Sub(source.readSent)
		sim.send(source, h, func() { sim.applySharedRead(h, next, sharedReadSent(asked, age)) })
	})
}

// sharedReadSent returns the earliest instant at which the read can have been sent.
func sharedReadSent(asked ident.Instant, age time.Duration) ident.Instant { return asked.Add(-age) }

// applySharedRead applies a read of another host that ended where this host's last read
// did.
func (sim *simulation) applySharedRead(h *host, next ident.Offset, sent ident.Instant) {
	if next != h.readNext {
		return
	}
	h.readSent = max(h.readSent, sent)
	sim.store.readAt(next).apply(h.agent, sent, sim.now)
}
