package admission

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// insert adds a request to the queue and keeps it sorted by rank. Requests of equal
// rank stay in order of arrival.
func (c *Core) insert(w waitingRequest) {
	i := len(c.queue)
	for i > 0 && c.queue[i-1].rank > w.rank {
		i--
	}
	c.queue = slices.Insert(c.queue, i, w)
	c.queuedWork.add(w.short, w.meanService)
	w.share.waiting++
	if len(c.queue) == 1 || w.stateChangeAt() < c.earliestStateChange {
		c.earliestStateChange = w.stateChangeAt()
	}
}

// removeAt removes the i-th request from the queue and returns it.
func (c *Core) removeAt(i int) waitingRequest {
	w := c.queue[i]
	if i == 0 {
		c.queue = c.queue[1:]
	} else {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	c.subtractFromTotals(&w)
	return w
}

// subtractFromTotals subtracts a request that leaves the queue from the sums over
// the queue.
func (c *Core) subtractFromTotals(w *waitingRequest) {
	c.queuedWork.add(w.short, -w.meanService)
	w.share.waiting--
}

// expireQueued refuses the waiting requests that can no longer meet their deadline,
// and marks those late that can no longer meet their target. It appends its
// commands to cmds and does nothing before earliestStateChange.
func (c *Core) expireQueued(now ident.Instant, cmds []Command) []Command {
	if len(c.queue) == 0 || now <= c.earliestStateChange {
		return cmds
	}
	kept := c.queue[:0]
	anyTurnedLate := false
	for i := range c.queue {
		w := &c.queue[i]
		if now > w.latestStart() {
			c.subtractFromTotals(w)
			cmds = append(cmds, Refuse{ID: w.ID, Reason: DeadlineExpired})
			continue
		}
		if !w.late && now > w.latestOnTimeStart() {
			w.markLate()
			anyTurnedLate = true
		}
		if len(kept) == 0 || w.stateChangeAt() < c.earliestStateChange {
			c.earliestStateChange = w.stateChangeAt()
		}
		kept = append(kept, *w)
	}
	c.queue = kept
	if anyTurnedLate {
		slices.SortStableFunc(c.queue, func(x, y waitingRequest) int { return cmp.Compare(x.rank, y.rank) })
	}
	return cmds
}

// dispatch refuses expired requests and starts waiting requests while slots are
// free for them. It appends its commands to cmds.
func (c *Core) dispatch(now ident.Instant, cmds []Command) []Command {
	cmds = c.expireQueued(now, cmds)
	c.limit.refill(now)
	for len(c.queue) > 0 && len(c.running) < c.cfg.Slots {
		i := c.nextIndex()
		if i < 0 {
			break
		}
		w := c.removeAt(i)
		cmds = append(cmds, c.start(&w, now))
	}
	return cmds
}

// nextIndex returns the queue index of the request to start next: among the
// requests that can start, the one with the lowest rank of the tenant with the
// least relative use of the slots. It returns -1 if no request can start. The pass
// over the queue stops once it has found a startable request of every tenant that
// has waiting requests.
func (c *Core) nextIndex() int {
	if i := c.neglectedIndex(); i >= 0 {
		return i
	}
	c.passNumber++
	unseenTenants := c.countWaitingTenants()
	best := -1
	var bestUse float64
	for i := range c.queue {
		w := &c.queue[i]
		if w.share.lastPass == c.passNumber || !c.canStart(w) {
			continue
		}
		w.share.lastPass = c.passNumber
		use := c.relativeUse(w.Tenant)
		if best < 0 || use < bestUse {
			best, bestUse = i, use
		}
		unseenTenants--
		if unseenTenants == 0 {
			break
		}
	}
	return best
}

// countWaitingTenants returns the number of tenants that have waiting requests.
func (c *Core) countWaitingTenants() int {
	n := 0
	for _, s := range c.shares {
		if s.waiting > 0 {
			n++
		}
	}
	return n
}
