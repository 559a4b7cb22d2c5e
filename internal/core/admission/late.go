package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Load pattern: a crest, or a hot key whose server gets more than its slots can do
// for some seconds. In order of arrival every request would wait as long as the
// queue is and miss its target. A request that cannot meet its target any more is
// late: it goes behind all that can, and runs when they leave a slot. The slots do
// the same work, and more of it is answered in time.

// latePenalty is added to the rank of a late request, once for each step of
// priority; more than any request waits.
const latePenalty = 24 * time.Hour

// latestOnTime is the last instant at which the request may start to meet its
// target, by the mean service time of its class.
func (w *waiting) latestOnTime() ident.Instant { return w.Target.Add(-w.expected) }

// due is when the request expires or turns late.
func (w *waiting) due() ident.Instant {
	if w.late {
		return w.latest()
	}
	return min(w.latest(), w.latestOnTime())
}

// turnLate puts the request behind all that are not late. Late requests go by
// priority, then in order of arrival.
func (w *waiting) turnLate() {
	w.late = true
	w.rank = w.arrived.Add(time.Duration(w.Priority+1) * latePenalty)
}

const (
	inflowTime = time.Second // over which the inflow is averaged: a few service times

	// leastSpare is the part of the slots that late work is taken to get at least:
	// a crest ends, so that its inflow is not the measure for a whole deadline.
	leastSpare = 0.2
)

// inflow is the moving average of the work that comes in and is not late, in
// slots: an exponentially decaying sum over inflowTime.
type inflow struct {
	sum time.Duration
	at  ident.Instant
}

func (f *inflow) add(d time.Duration, now ident.Instant) {
	f.decay(now)
	f.sum += d
}

// decay takes off the linear part of the exponential, which is exact enough for
// the steps between two requests.
func (f *inflow) decay(now ident.Instant) {
	part := min(float64(now.Sub(f.at))/float64(inflowTime), 1)
	f.sum -= time.Duration(part * float64(f.sum))
	f.at = now
}

// lateWait stretches the wait of a late request by what will pass it meanwhile.
func (c *Core) lateWait(wait time.Duration, now ident.Instant) time.Duration {
	c.inflow.decay(now)
	used := float64(c.inflow.sum) / float64(inflowTime) / float64(max(c.cfg.Slots, 1))
	return time.Duration(float64(wait) / max(1-used, leastSpare))
}

// giveUp refuses requests that are not expected to run before their deadline, as
// soon as that is known: what was expected when they came may have been too little.
func (c *Core) giveUp(now ident.Instant, cmds []Command) []Command {
	ahead := c.restOfRunning(now)
	kept := c.queue[:0]
	for i := range c.queue {
		w := c.queue[i]
		wait := ahead / time.Duration(max(c.cfg.Slots, 1))
		if w.late {
			wait = c.lateWait(wait, now)
		}
		if now.Add(wait+w.needs) > w.Deadline {
			c.leave(&w)
			cmds = append(cmds, Refuse{ID: w.ID, Reason: WouldMissDeadline, RetryAfter: wait})
			continue
		}
		ahead += w.expected
		kept = append(kept, w)
	}
	c.queue = kept
	return cmds
}

// restOfRunning sums what the running requests still need.
func (c *Core) restOfRunning(now ident.Instant) time.Duration {
	var sum time.Duration
	for _, r := range c.running {
		sum += c.rest(r, now)
	}
	return sum
}
