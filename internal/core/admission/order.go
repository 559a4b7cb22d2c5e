package admission

import (
	"math"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// The order with Config.CallsFirst: calls, then other work by priority and age, then what is
// late. Two rules bound it. No class is served below neglectedRatio of any other's ratio of
// served to arrived requests, and no more urgent class is served less often than a less urgent
// one: the first waiting request of a class that falls behind goes first.

const (
	// callLead is what calls gain in rank. It is longer than any request waits.
	callLead = time.Hour

	servedWindow   = 5 * time.Second // over which the served requests of a class are averaged
	servedMin      = 5               // arrivals in the window before the ratio of a class counts
	neglectedRatio = 0.35            // of another class's ratio; a margin above the quarter that is promised
	urgentMargin   = 0.03            // by which a less urgent class may be ahead
	servedClasses  = 32              // classes that are compared; further ones keep their rank
)

// servedCount counts the arrivals of a class and those of them that started.
type servedCount struct {
	arrived, started float64
	priority         int
	call             bool
}

func (s *servedCount) ratio() float64 { return s.started / max(s.arrived, 1) }

// servedRatios holds the counts of all classes, decayed over servedWindow.
type servedRatios struct {
	byClass   map[Class]*servedCount
	decayedAt ident.Instant
}

// recordArrival counts an arrival.
func (r *servedRatios) recordArrival(w *waitingRequest, now ident.Instant) {
	if r.byClass == nil {
		r.byClass = make(map[Class]*servedCount)
	}
	if passed := now.Sub(r.decayedAt); passed >= servedWindow/10 {
		factor := math.Exp(-passed.Seconds() / servedWindow.Seconds())
		for class, s := range r.byClass {
			s.arrived *= factor
			s.started *= factor
			if s.arrived < 0.1 {
				delete(r.byClass, class)
			}
		}
		r.decayedAt = now
	}
	s := r.byClass[w.Class]
	if s == nil {
		if len(r.byClass) >= servedClasses {
			return
		}
		s = &servedCount{}
		r.byClass[w.Class] = s
	}
	s.arrived++
	s.priority, s.call = w.Priority, w.call
}

// recordStart counts a start.
func (r *servedRatios) recordStart(k Class) {
	if s := r.byClass[k]; s != nil {
		s.started++
	}
}

// isNeglected reports whether a class has fallen behind others. Calls have the priority of no
// caller, so that only the first rule binds them.
func (r *servedRatios) isNeglected(k Class) bool {
	s := r.byClass[k]
	if s == nil || s.arrived < servedMin {
		return false
	}
	for class, o := range r.byClass {
		if class == k || o.arrived < servedMin {
			continue
		}
		if s.ratio() < neglectedRatio*o.ratio() {
			return true
		}
		if !s.call && !o.call && s.priority < o.priority && s.ratio() < o.ratio()-urgentMargin {
			return true
		}
	}
	return false
}

// anyNeglected reports whether a class has fallen behind others.
func (r *servedRatios) anyNeglected() bool {
	if len(r.byClass) < 2 {
		return false
	}
	for k := range r.byClass {
		if r.isNeglected(k) {
			return true
		}
	}
	return false
}

// applyOrder sets what the order with CallsFirst changes in a new request. A call is given up
// only when its mean service time does not fit: it is not marked late, and a chance that it is
// answered is worth more than the slot's time, since its parent's work is lost with it.
func (c *Core) applyOrder(w *waitingRequest, now ident.Instant) {
	if !c.cfg.CallsFirst {
		return
	}
	c.callers.record(&w.Arrival, now)
	w.call = c.callers.isCall(w.Class)
	c.served.recordArrival(w, now)
	c.calls.decay(now)
	if w.call {
		w.Target = w.Deadline
		w.highService = w.meanService
		w.rank = now.Add(-callLead)
		c.calls.add(w.meanService, w.Deadline.Sub(now), now)
		return
	}
	if c.limit.perSecond == 0 {
		w.rank = w.rank.Add(time.Duration(w.Priority) * c.cfg.MaxOvertake)
	}
}

// keptFrom returns the number of free slots that a request may not use.
func (c *Core) keptFrom(w *waitingRequest) int {
	if w.call {
		return 0
	}
	kept := 0
	if !w.short {
		kept = c.ReservedSlots()
	}
	if c.cfg.CallsFirst {
		kept += c.calls.kept(c.cfg.Slots)
	}
	return min(kept, max(c.cfg.Slots-1, 0))
}

// neglectedIndex returns the index of the first waiting request of a class that has fallen
// behind, -1 if there is none. It may use the slots that are kept for calls.
func (c *Core) neglectedIndex() int {
	if !c.cfg.CallsFirst || !c.limit.allows() || len(c.running) >= c.cfg.Slots || !c.served.anyNeglected() {
		return -1
	}
	for i := range c.queue {
		if k := c.queue[i].Class; c.served.byClass[k] != nil && c.served.isNeglected(k) {
			return i
		}
	}
	return -1
}

// refuseUnservable refuses the waiting requests that are no longer expected to meet their
// deadline, by list scheduling: each takes the slot that is free first of those it may use. It
// appends its commands to cmds.
func (c *Core) refuseUnservable(now ident.Instant, cmds []Command) []Command {
	free := c.slotFreeTimes(now)
	c.limit.refill(now)
	kept := c.queue[:0]
	for i := range c.queue {
		w := c.queue[i]
		slot := min(c.keptFrom(&w), len(free)-1)
		if slot < 0 {
			return cmds
		}
		wait := max(free[slot], c.limit.waitFor(len(kept)))
		if w.late {
			wait = c.stretchLateWait(wait, now)
		}
		if now.Add(wait+w.highService) > w.Deadline {
			c.subtractFromTotals(&w)
			cmds = append(cmds, Refuse{ID: w.ID, Reason: WouldMissDeadline, RetryAfter: wait})
			continue
		}
		free[slot] += w.meanService
		slices.Sort(free)
		kept = append(kept, w)
	}
	c.queue = kept
	return cmds
}
