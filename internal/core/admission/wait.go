package admission

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// classWork is a sum of expected service times, separately for short and for long
// classes.
type classWork struct {
	short, long time.Duration
}

// add adds d to the sum for short or for long classes.
func (w *classWork) add(short bool, d time.Duration) {
	if short {
		w.short += d
		return
	}
	w.long += d
}

// expectedWait estimates how long w waits before it starts. It distributes the work
// ahead of w to the slots that are free first, as list scheduling does, but treats
// the work as a fluid. Work of long classes fills only the slots that are not
// reserved.
func (c *Core) expectedWait(w *waitingRequest, now ident.Instant) time.Duration {
	if len(c.queue) == 0 && c.canStart(w) {
		return 0
	}
	free := c.slotFreeTimes(now)
	reserved := c.ReservedSlots()
	ahead := c.workAhead(w)
	fillLevels(free[reserved:], ahead.long)
	slices.Sort(free)
	fillLevels(free, ahead.short)
	byLimit := c.limit.waitFor(c.queuePosition(w))
	return max(free[c.keptFrom(w)], byLimit)
}

// workAhead returns the sum of the queued work that is ordered before w.
func (c *Core) workAhead(w *waitingRequest) classWork {
	sum := c.queuedWork
	for i := len(c.queue) - 1; i >= 0 && c.queue[i].rank > w.rank; i-- {
		sum.add(c.queue[i].short, -c.queue[i].meanService)
	}
	return sum
}

// slotFreeTimes returns, for each slot, the time until it is free, in ascending
// order. If more requests run than there are slots, the first of them to end free
// no slot. The result is valid until the next call.
func (c *Core) slotFreeTimes(now ident.Instant) []time.Duration {
	free := c.freeTimesBuf[:0]
	for _, r := range c.running {
		free = append(free, c.remainingTime(r, now))
	}
	for len(free) < c.cfg.Slots {
		free = append(free, 0)
	}
	c.freeTimesBuf = free
	slices.Sort(free)
	return free[len(free)-c.cfg.Slots:]
}

// fillLevels raises the lowest levels of an ascending list to a common level, so
// that the sum of the levels grows by amount.
func fillLevels(levels []time.Duration, amount time.Duration) {
	n, spent := 1, time.Duration(0)
	for n < len(levels) {
		step := (levels[n] - levels[n-1]) * time.Duration(n)
		if spent+step > amount {
			break
		}
		spent += step
		n++
	}
	level := levels[n-1] + (amount-spent)/time.Duration(n)
	for i := range n {
		levels[i] = level
	}
}

// remainingTime returns the expected remaining service time of a running request.
// Near the end of its class's mean, and after it, the result stays at the mean
// divided by overrunDivisor.
func (c *Core) remainingTime(r runningRequest, now ident.Instant) time.Duration {
	mean := c.estimates.meanServiceTime(r.class)
	return max(mean-now.Sub(r.started), mean/overrunDivisor)
}

// overrunDivisor determines the least remaining time that is expected of a running
// request: the mean of its class divided by overrunDivisor.
const overrunDivisor = 4
