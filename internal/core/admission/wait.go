package admission

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// work is expected service time by kind of class.
type work struct {
	short, long time.Duration
}

func (w *work) add(short bool, d time.Duration) {
	if short {
		w.short += d
		return
	}
	w.long += d
}

// expectedWait estimates when w starts: the work ahead of it fills the slots
// that are free first, as list scheduling does, taken as a fluid. Long classes
// fill the slots beyond the reserved ones only.
func (c *Core) expectedWait(w *waiting, now ident.Instant) time.Duration {
	if len(c.queue) == 0 && c.mayStart(w) {
		return 0
	}
	free := c.freeTimes(now)
	reserved := c.ReservedSlots()
	ahead := c.ahead(w)
	fill(free[reserved:], ahead.long)
	slices.Sort(free)
	fill(free, ahead.short)
	if w.short {
		return free[0]
	}
	return free[reserved]
}

// ahead sums the work that is ordered before w.
func (c *Core) ahead(w *waiting) work {
	sum := c.queued
	for i := len(c.queue) - 1; i >= 0 && c.queue[i].rank > w.rank; i-- {
		sum.add(c.queue[i].short, -c.queue[i].expected)
	}
	return sum
}

// freeTimes returns for each slot how long it is still taken, in ascending order.
// When more requests run than there are slots, the first to end free none.
func (c *Core) freeTimes(now ident.Instant) []time.Duration {
	free := c.free[:0]
	for _, r := range c.running {
		free = append(free, c.rest(r, now))
	}
	for len(free) < c.cfg.Slots {
		free = append(free, 0)
	}
	c.free = free
	slices.Sort(free)
	return free[len(free)-c.cfg.Slots:]
}

// fill raises the lowest levels of an ascending list to a common level until
// the amount is spent.
func fill(levels []time.Duration, amount time.Duration) {
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

// rest is the expected rest of a run; one that has outlasted its class's mean is
// taken to need a part of it again.
func (c *Core) rest(r running, now ident.Instant) time.Duration {
	mean := c.classes.mean(r.class)
	return max(mean-now.Sub(r.started), mean/overtimePart)
}

// overtimePart divides the mean of a class whose run has outlasted it.
const overtimePart = 4
