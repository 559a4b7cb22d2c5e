package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Late requests: during a load peak, or for a server with a hot key, more work
// arrives for some seconds than the slots can do. In order of arrival, every request
// would wait for the whole queue and miss its target. Therefore a request that can
// no longer meet its target is late: Core orders it behind all requests that still
// can, and it runs once they leave a slot free. The slots do the same amount of work,
// and more requests are answered in time.

// lateRankPenalty is added to the rank of a late request, once for priority 0 and
// once more for each further step of Arrival.Priority. It is longer than any request
// waits.
const lateRankPenalty = 24 * time.Hour

// latestOnTimeStart returns the last instant at which the request may start and
// still meet its target, by the mean service time of its class.
func (w *waitingRequest) latestOnTimeStart() ident.Instant { return w.Target.Add(-w.meanService) }

// stateChangeAt returns the instant after which the request becomes late or
// expires, whichever comes first.
func (w *waitingRequest) stateChangeAt() ident.Instant {
	if w.late {
		return w.latestStart()
	}
	return min(w.latestStart(), w.latestOnTimeStart())
}

// markLate gives the request a rank behind all requests that are not late. Late
// requests are ordered by priority, then by arrival.
func (w *waitingRequest) markLate() {
	w.late = true
	w.rank = w.arrived.Add(time.Duration(w.Priority+1) * lateRankPenalty)
}

const (
	inflowWindow = time.Second // window over which the inflow is averaged: a few service times

	// minSpareFraction is the fraction of the slots that is assumed to be left for
	// late requests at least: a load peak ends, so its inflow must not be
	// extrapolated over the whole time until a deadline.
	minSpareFraction = 0.2
)

// inflow is an exponentially decaying sum, over inflowWindow, of the mean service
// times of the requests that arrive and are not late. Divided by inflowWindow it is
// the number of slots that these requests occupy on average. requests is the same sum
// over their number.
type inflow struct {
	sum       time.Duration
	requests  float64
	updatedAt ident.Instant
}

// add adds the mean service time d of a request that arrives now.
func (f *inflow) add(d time.Duration, now ident.Instant) {
	f.decay(now)
	f.sum += d
	f.requests++
}

// decay reduces the sum by the time since the last update. It uses the linear
// approximation of the exponential, which is exact enough for the short steps
// between two requests.
func (f *inflow) decay(now ident.Instant) {
	fraction := min(float64(now.Sub(f.updatedAt))/float64(inflowWindow), 1)
	f.sum -= time.Duration(fraction * float64(f.sum))
	f.requests -= fraction * f.requests
	f.updatedAt = now
}

// stretchLateWait returns the expected wait of a late request: the given wait for
// the work ahead of it, extended by the requests that will arrive and overtake it
// meanwhile.
func (c *Core) stretchLateWait(wait time.Duration, now ident.Instant) time.Duration {
	c.inflow.decay(now)
	usedFraction := float64(c.inflow.sum) / float64(inflowWindow) / float64(max(c.cfg.Slots, 1))
	if c.limit.perSecond > 0 {
		usedFraction = max(usedFraction, c.inflow.requests/inflowWindow.Seconds()/c.limit.perSecond)
	}
	return time.Duration(float64(wait) / max(1-usedFraction, minSpareFraction))
}

// refuseExpectedMisses refuses the waiting requests that are no longer expected to
// meet their deadline, as early as that can be known: the wait that Arrive
// estimated may have been too short. It appends its commands to cmds.
func (c *Core) refuseExpectedMisses(now ident.Instant, cmds []Command) []Command {
	ahead := c.remainingRunningWork(now)
	c.limit.refill(now)
	kept := c.queue[:0]
	for i := range c.queue {
		w := c.queue[i]
		wait := max(ahead/time.Duration(max(c.cfg.Slots, 1)), c.limit.waitFor(len(kept)))
		if w.late {
			wait = c.stretchLateWait(wait, now)
		}
		if now.Add(wait+w.highService) > w.Deadline {
			c.subtractFromTotals(&w)
			cmds = append(cmds, Refuse{ID: w.ID, Reason: WouldMissDeadline, RetryAfter: wait})
			continue
		}
		ahead += w.meanService
		kept = append(kept, w)
	}
	c.queue = kept
	return cmds
}

// remainingRunningWork returns the sum of the remaining times of the running
// requests.
func (c *Core) remainingRunningWork(now ident.Instant) time.Duration {
	var sum time.Duration
	for _, r := range c.running {
		sum += c.remainingTime(r, now)
	}
	return sum
}
