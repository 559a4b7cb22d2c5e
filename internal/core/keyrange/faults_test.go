package keyrange

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// trouble draws one fault.
func (w *world) trouble() {
	h := rapid.SampledFrom(w.hosts).Draw(w.t, "host")
	until := w.now.Add(time.Duration(rapid.IntRange(2, 120).Draw(w.t, "steps")) * step)
	switch rapid.IntRange(0, 10).Draw(w.t, "fault") {
	case 0:
		w.down = until
	case 1:
		h.cut = until
	case 2:
		h.noStore = until
	case 3:
		h.frozen = until
	case 4: // the daemon is killed, its server goes on
		h.down = min(until, w.now.Add(2*time.Second))
		w.start(h)
	case 5: // the server starts again under its name
		h.life.StartedMS++
		h.holds, h.freed, h.sequence, h.draining = nil, nil, 0, false
	case 6:
		h.draining = true
	case 7:
		h.dark = until
		h.agent.ServerLost()
	case 8: // power: daemon and server start again
		h.life.StartedMS++
		h.holds, h.freed, h.sequence, h.draining = nil, nil, 0, false
		h.down = until
		w.start(h)
	case 9: // some hosts do not reach this one, the others do
		w.part(h, until)
	case 10: // the same, and it has no store
		w.part(h, until)
		h.noStore = until
	}
}

// part cuts a host off from some of the others.
func (w *world) part(h *host, until ident.Instant) {
	for _, other := range w.hosts {
		if other != h && rapid.Bool().Draw(w.t, "apart") {
			h.apart[other.name], other.apart[h.name] = until, until
		}
	}
}

func runWorld(t *rapid.T, cfg Config) *world {
	w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "hosts"), cfg)
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		for range rapid.IntRange(1, 60).Draw(t, "calm") {
			w.step()
		}
		w.trouble()
	}
	return w
}

func TestNoTwoServersHoldAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runWorld(t, testConfig()) })
}

// After the last fault has passed, every key is held again.
func TestEveryKeyIsHeldAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runWorld(t, testConfig())
		drained := 0
		for _, h := range w.hosts {
			if h.draining {
				drained++
			}
		}
		if drained == len(w.hosts) {
			return
		}
		w.calm = true
		for range 400 {
			w.step()
		}
		for _, k := range probes {
			held := false
			for _, h := range w.hosts {
				for _, x := range h.holds {
					held = held || x.Contains(k)
				}
			}
			if !held {
				row, ok := w.store.newest().Find(k)
				t.Fatalf("nobody holds key %d; row %+v %v, suspects %+v", k, row, ok, w.store.newest().Suspects)
			}
		}
	})
}
