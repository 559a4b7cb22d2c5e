package keyrange

import (
	"time"

	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// transitCall is a call to a server between its sending and its answer.
type transitCall struct {
	Call
	incarnation ident.Incarnation // of the daemon that sent it
	arrivesAt   ident.Instant     // its time to live counts from here
	appliedAt   ident.Instant     // the server carries it out, possibly seconds after its arrival
	answeredAt  ident.Instant
	answerLost  bool
	applied     bool
	result      CallOutcome
}

// maxArrivalSteps is how many steps a grant may be on its way.
const maxArrivalSteps = 5

// callTimeout is how long a simulated daemon waits for the answer to a grant.
const callTimeout = 5 * stepInterval

// sendCalls sends the calls that are due. Each of them may be lost, carried out
// without an answer, or carried out seconds later without an answer.
func (sim *simulation) sendCalls(h *host) {
	for _, c := range h.agent.Calls(sim.now) {
		l := transitCall{Call: c, incarnation: h.incarnation, arrivesAt: sim.now, appliedAt: sim.now, answeredAt: sim.now}
		if !sim.faultless {
			if c.Kind == CallGrant {
				l.arrivesAt = sim.now.Add(sim.drawSteps("arrival", 0, maxArrivalSteps))
			}
			l.appliedAt, l.answeredAt = l.arrivesAt, l.arrivesAt.Add(sim.drawSteps("answer", 0, 3))
			switch rapid.IntRange(0, 9).Draw(sim.t, "call") {
			case 0:
				l.answerLost = true
			case 1:
				l.answerLost = true
				l.appliedAt = l.arrivesAt.Add(sim.drawSteps("late call", 5, 60))
			case 2:
				sim.endCall(h, l, CallNotDone)
				continue
			}
		}
		if c.Kind == CallRelease {
			l.answeredAt = max(l.answeredAt, l.appliedAt.Add(sim.runningWork()))
		}
		h.calls = append(h.calls, l)
	}
}

func (sim *simulation) drawSteps(label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(sim.t, label)) * stepInterval
}

// runningWork returns how long the work still takes that runs on released keys.
func (sim *simulation) runningWork() time.Duration {
	if sim.faultless {
		return 0
	}
	return sim.drawSteps("running work", 0, 10)
}

// processCalls applies the calls that the server carries out now and reports outcomes
// to the daemon. While the daemon is frozen, its calls are still carried out.
func (sim *simulation) processCalls(h *host) {
	kept := h.calls[:0]
	for _, l := range h.calls {
		if !l.applied && l.appliedAt <= sim.now {
			l.applied = true
			l.result = sim.applyCall(h, l)
		}
		timeout := callTimeout
		if l.Kind == CallRelease {
			timeout = l.Timeout
		}
		answered := l.applied && !l.answerLost && l.answeredAt <= sim.now
		timedOut := sim.now >= l.arrivesAt.Add(timeout)
		switch {
		case l.Call.ID != 0 && h.isRunning(sim.now) && answered:
			sim.endCall(h, l, l.result)
			continue
		case l.Call.ID != 0 && h.isRunning(sim.now) && timedOut:
			sim.endCall(h, l, CallUnclear)
			l.Call.ID = 0 // the daemon no longer waits
		}
		if !l.applied || l.Call.ID != 0 {
			kept = append(kept, l)
		}
	}
	h.calls = kept
}

// endCall reports the outcome of a call to the daemon, unless its process has ended.
func (sim *simulation) endCall(h *host, l transitCall, o CallOutcome) {
	if l.incarnation != h.incarnation {
		return
	}
	token := ""
	if l.Kind == CallRelease {
		token = "token"
	}
	h.agent.ApplyCallOutcome(l.Call, o, token, sim.now)
}

// applyCall does what a server does with a call.
func (sim *simulation) applyCall(h *host, l transitCall) CallOutcome {
	if h.seenFence == nil {
		h.seenFence = make(map[Key]uint64)
	}
	if l.Kind == CallGrant {
		for _, k := range probeKeys {
			if l.Contains(k) && h.seenFence[k] > l.Fence {
				return CallFenced
			}
		}
	}
	var held []holding
	for _, x := range h.holdings {
		for _, rest := range x.Span.subtract(l.Span) {
			held = append(held, holding{rest, x.fence, x.until})
		}
	}
	h.holdings = held
	until := l.arrivesAt.Add(l.Hold + l.Hold/50)
	if l.Kind == CallRelease || until < sim.now {
		return CallDone
	}
	h.holdings = append(h.holdings, holding{l.Span, l.Fence, until})
	for _, k := range probeKeys {
		if l.Contains(k) {
			h.seenFence[k] = l.Fence
			sim.recordAcquisition(h, k, l.Fence)
		}
	}
	return CallDone
}
