package keyrange

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// injectFault draws one fault and applies it.
func (sim *simulation) injectFault() {
	h := rapid.SampledFrom(sim.hosts).Draw(sim.t, "host")
	until := sim.now.Add(time.Duration(rapid.IntRange(2, 120).Draw(sim.t, "steps")) * stepInterval)
	switch rapid.IntRange(0, 13).Draw(sim.t, "fault") {
	case 0:
		sim.storeDownUntil = until
	case 1:
		h.isolatedUntil = until
	case 2:
		h.storeUnreachableUntil = until
	case 3:
		h.frozenUntil = until
	case 4: // the daemon is killed; its server keeps running
		h.stoppedUntil = min(until, sim.now.Add(2*time.Second))
		sim.startDaemon(h)
	case 5: // the server restarts under its name
		h.restartServer()
	case 6:
		h.draining = true
	case 7:
		h.heartbeatsLostUntil = until
		h.agent.ServerLost()
	case 8: // power failure: daemon and server restart
		h.restartServer()
		h.stoppedUntil = until
		sim.startDaemon(h)
	case 9: // some of the other hosts cannot reach this one
		sim.partition(h, until)
	case 10: // the same, and this host cannot reach the store
		sim.partition(h, until)
		h.storeUnreachableUntil = until
	case 11: // the store is away for up to 2 s and comes back from a copy
		records := int(sim.store.next().Number())
		sim.store.restore(rapid.IntRange(min(1, records), records).Draw(sim.t, "copied"))
		sim.storeDownUntil = min(until, sim.now.Add(2*time.Second))
	case 12:
		h.evacuatedUntil = until
	case 13: // another writer sends one heartbeat
		sim.deliverForeignHeartbeat(h, min(until, sim.now.Add(4*time.Second)))
	}
}

// partition disconnects a host from a random subset of the others.
func (sim *simulation) partition(h *host, until ident.Instant) {
	for _, other := range sim.hosts {
		if other != h && rapid.Bool().Draw(sim.t, "apart") {
			h.unreachableUntil[other.name], other.unreachableUntil[h.name] = until, until
		}
	}
}

// restartServer starts the server again under its name. It holds nothing, and the
// calls to its former process are lost.
func (h *host) restartServer() {
	h.instance.StartedMS++
	h.holdings, h.released, h.sequence, h.draining = nil, nil, 0, false
	h.calls, h.seenFence = nil, nil
}

func runSimulation(t *rapid.T, cfg Config, mode GrantMode) *simulation {
	sim := newSimulation(t, rapid.IntRange(2, 5).Draw(t, "hosts"), cfg, mode)
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		for range rapid.IntRange(1, 60).Draw(t, "calm") {
			sim.advance()
		}
		sim.injectFault()
	}
	return sim
}

func TestNoTwoServersHoldAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, testConfig(), GrantByHeartbeat) })
}

func TestNoTwoServersHoldAKeyByCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, testConfig(), GrantByCall) })
}

// After the last fault has ended, every key is held again.
func TestEveryKeyIsHeldAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkHeldAgain(t, GrantByHeartbeat) })
}

func TestEveryKeyIsHeldAgainByCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkHeldAgain(t, GrantByCall) })
}

func checkHeldAgain(t *rapid.T, mode GrantMode) {
	sim := runSimulation(t, testConfig(), mode)
	drained := 0
	for _, h := range sim.hosts {
		if h.draining {
			drained++
		}
	}
	if drained == len(sim.hosts) {
		return
	}
	sim.faultless = true
	for range 400 {
		sim.advance()
	}
	for _, k := range probeKeys {
		held := false
		for _, h := range sim.hosts {
			for _, x := range h.holdings {
				held = held || x.Contains(k)
			}
		}
		if !held {
			row, ok := sim.store.newest().Find(k)
			t.Fatalf("nobody holds key %d; row %+v %v, suspects %+v", k, row, ok, sim.store.newest().Suspects)
		}
	}
}
