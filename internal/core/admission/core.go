// Package admission decides when a request may start on the backend server
// beside the daemon. Slots are counted exactly; the queue is bounded by
// deadlines; short classes of work go first, and an ageing bound keeps long work
// from starving. The package is pure: events with their instants in, typed
// commands out.
//
// The order of the queue is shortest expected processing time first with linear
// ageing: a request is ordered by its arrival plus its class's mean service time
// times Config.Patience, at most Config.MaxOvertake. So no request is overtaken
// by one that arrived more than MaxOvertake later, except on the slots that are
// reserved for short classes, and except once it is late: see late.go.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ID names one request between its arrival and its end.
type ID uint64

// Class groups requests with similar service times.
type Class string

// Config sets the policy for one backend server.
type Config struct {
	Slots             int           // requests that may run at once
	ReservedSlots     int           // slots that only short classes take
	MaxQueue          int           // waiting requests
	ServiceTimeWeight float64       // arrival lead that a unit of service time costs
	MaxOvertake       time.Duration // bound of that lead
	ShortClassFactor  float64       // a class is short up to this multiple of the typical service time
	TenantWeights     map[ident.Tenant]float64
}

// DefaultConfig returns the policy for a backend server with the given slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:             slots,
		ReservedSlots:     slots / 4,
		MaxQueue:          max(256*slots, 256),
		ServiceTimeWeight: 4,
		MaxOvertake:       2 * time.Second,
		ShortClassFactor:  4,
	}
}

// Arrival is a request that asks for a slot.
type Arrival struct {
	ID       ID
	Class    Class
	Tenant   ident.Tenant
	Deadline ident.Instant
	Target   ident.Instant // an answer by then is worth most; zero: the deadline
	Priority int           // orders late requests, 0 is the most urgent
}

// Command is what the caller of this package has to do.
type Command interface{ admissionCommand() }

// Start lets a request run.
type Start struct{ ID ID }

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	QueueFull         Reason = iota
	WouldMissDeadline        // its expected wait and service pass the deadline
	DeadlineExpired          // the deadline came too close while it waited
	NoSlots                  // no backend server is there
)

// Refuse tells a request that it will not run.
type Refuse struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
}

func (Start) admissionCommand()  {}
func (Refuse) admissionCommand() {}

type waiting struct {
	Arrival
	arrived  ident.Instant
	rank     ident.Instant // lower goes first
	expected time.Duration // mean service time
	needs    time.Duration // high quantile of the service time
	short    bool
	late     bool // it cannot meet its target any more
	share    *share
}

// latest is the last instant at which the request may start.
func (w *waiting) latest() ident.Instant { return w.Deadline.Add(-w.needs) }

type running struct {
	class   Class
	tenant  ident.Tenant
	started ident.Instant
	short   bool
}

// Core is the state of the decisions for one backend server. It is not safe for
// concurrent use.
type Core struct {
	cfg     Config
	classes *classes
	queue   []waiting     // in order of rank
	queued  work          // sum of the expected work in queue
	due     ident.Instant // no request in queue expires or turns late before it
	turn    uint64        // distinguishes the passes of next
	running map[ID]running
	shares  map[ident.Tenant]*share
	reserve reserve
	inflow  inflow
	free    []time.Duration // scratch of freeTimes
}

// New returns a core without requests.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		classes: newClasses(cfg.ShortClassFactor),
		running: make(map[ID]running),
		shares:  make(map[ident.Tenant]*share),
	}
}

// RunningCount returns the number of slots in use.
func (c *Core) RunningCount() int { return len(c.running) }

// WaitingCount returns the length of the queue.
func (c *Core) WaitingCount() int { return len(c.queue) }

// ReservedSlots returns the number of slots kept for short classes now.
func (c *Core) ReservedSlots() int { return c.reserve.slots(c.cfg) }

// SetSlots changes the number of slots, as when the backend server announces
// again. Requests that run are not affected.
func (c *Core) SetSlots(slots, reserved int, now ident.Instant) []Command {
	c.cfg.Slots = slots
	c.cfg.ReservedSlots = reserved
	return c.dispatch(now, nil)
}

// Arrive adds a request: it starts, waits or is refused.
func (c *Core) Arrive(a Arrival, now ident.Instant) []Command {
	if c.cfg.Slots <= 0 {
		return c.expire(now, []Command{Refuse{ID: a.ID, Reason: NoSlots}})
	}
	c.resume(a.Tenant)
	w := c.newWaiting(a, now)
	cmds := c.expire(now, nil)
	if len(c.queue) == 0 && c.mayStart(&w) && now <= w.latest() {
		c.inflow.add(w.expected, now)
		return append(cmds, c.start(&w, now))
	}
	wait := c.expectedWait(&w, now)
	if now.Add(wait) > w.latestOnTime() {
		w.turnLate()
		wait = c.lateWait(c.expectedWait(&w, now), now)
	}
	if now.Add(wait+w.needs) > w.Deadline {
		return append(cmds, Refuse{ID: a.ID, Reason: WouldMissDeadline, RetryAfter: wait})
	}
	if len(c.queue) >= c.cfg.MaxQueue {
		return append(cmds, Refuse{ID: a.ID, Reason: QueueFull, RetryAfter: wait})
	}
	if !w.late {
		c.inflow.add(w.expected, now)
	}
	c.insert(w)
	return c.dispatch(now, cmds)
}

func (c *Core) newWaiting(a Arrival, now ident.Instant) waiting {
	if a.Target == 0 || a.Target > a.Deadline {
		a.Target = a.Deadline
	}
	expected := c.classes.mean(a.Class)
	lead := time.Duration(c.cfg.ServiceTimeWeight * float64(expected))
	return waiting{
		Arrival:  a,
		arrived:  now,
		rank:     now.Add(min(lead, c.cfg.MaxOvertake)),
		expected: expected,
		needs:    c.classes.high(a.Class),
		short:    c.classes.short(a.Class),
		share:    c.share(a.Tenant),
	}
}

// Finish ends a running request and teaches its class the service time.
func (c *Core) Finish(id ID, now ident.Instant) []Command {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	served := now.Sub(r.started)
	c.classes.learn(r.class, served)
	c.charge(r.tenant, served)
	return c.dispatch(now, nil)
}

// Cancel removes a request whose caller has gone, waiting or running. The
// service time of a canceled run teaches nothing.
func (c *Core) Cancel(id ID, now ident.Instant) []Command {
	if r, ok := c.running[id]; ok {
		delete(c.running, id)
		c.charge(r.tenant, now.Sub(r.started))
		return c.dispatch(now, nil)
	}
	for i := range c.queue {
		if c.queue[i].ID == id {
			c.take(i)
			break
		}
	}
	return nil
}

// Tick refuses requests whose deadline came too close and learns from runs that
// take longer than their class.
func (c *Core) Tick(now ident.Instant) []Command {
	short := 0
	for _, r := range c.running {
		c.classes.atLeast(r.class, now.Sub(r.started))
		if r.short {
			short++
		}
	}
	c.reserve.sample(short, len(c.running)-short)
	return c.dispatch(now, c.giveUp(now, nil))
}

// insert keeps the queue sorted; equal ranks stay in order of arrival.
func (c *Core) insert(w waiting) {
	i := len(c.queue)
	for i > 0 && c.queue[i-1].rank > w.rank {
		i--
	}
	c.queue = slices.Insert(c.queue, i, w)
	c.queued.add(w.short, w.expected)
	w.share.waiting++
	if len(c.queue) == 1 || w.due() < c.due {
		c.due = w.due()
	}
}

// take removes the i-th request from the queue.
func (c *Core) take(i int) waiting {
	w := c.queue[i]
	if i == 0 {
		c.queue = c.queue[1:]
	} else {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	c.leave(&w)
	return w
}

// leave takes a request out of the sums over the queue.
func (c *Core) leave(w *waiting) {
	c.queued.add(w.short, -w.expected)
	w.share.waiting--
}

// mayStart reports whether a free slot may go to the request. The reserved
// slots go to short classes only.
func (c *Core) mayStart(w *waiting) bool {
	free := c.cfg.Slots - len(c.running)
	if w.short {
		return free > 0
	}
	return free > c.ReservedSlots()
}

func (c *Core) start(w *waiting, now ident.Instant) Command {
	c.running[w.ID] = running{class: w.Class, tenant: w.Tenant, started: now, short: w.short}
	c.share(w.Tenant).running++
	return Start{ID: w.ID}
}

// expire refuses the waiting requests that can no longer meet their deadline, and
// puts those behind that can no longer meet their target.
func (c *Core) expire(now ident.Instant, cmds []Command) []Command {
	if len(c.queue) == 0 || now <= c.due {
		return cmds
	}
	kept := c.queue[:0]
	turned := false
	for i := range c.queue {
		w := &c.queue[i]
		if now > w.latest() {
			c.leave(w)
			cmds = append(cmds, Refuse{ID: w.ID, Reason: DeadlineExpired})
			continue
		}
		if !w.late && now > w.latestOnTime() {
			w.turnLate()
			turned = true
		}
		if len(kept) == 0 || w.due() < c.due {
			c.due = w.due()
		}
		kept = append(kept, *w)
	}
	c.queue = kept
	if turned {
		slices.SortStableFunc(c.queue, func(x, y waiting) int { return cmp.Compare(x.rank, y.rank) })
	}
	return cmds
}

func (c *Core) dispatch(now ident.Instant, cmds []Command) []Command {
	cmds = c.expire(now, cmds)
	for len(c.queue) > 0 && len(c.running) < c.cfg.Slots {
		i := c.next()
		if i < 0 {
			break
		}
		w := c.take(i)
		cmds = append(cmds, c.start(&w, now))
	}
	return cmds
}

// next returns the index of the request that starts next, or -1: of the tenant
// that has used least of its share, the one with the lowest rank. The pass ends
// once every tenant with waiting requests was seen.
func (c *Core) next() int {
	c.turn++
	left := c.waitingTenants()
	best := -1
	var bestUse float64
	for i := range c.queue {
		w := &c.queue[i]
		if w.share.turn == c.turn || !c.mayStart(w) {
			continue
		}
		w.share.turn = c.turn
		use := c.use(w.Tenant)
		if best < 0 || use < bestUse {
			best, bestUse = i, use
		}
		left--
		if left == 0 {
			break
		}
	}
	return best
}

func (c *Core) waitingTenants() int {
	n := 0
	for _, s := range c.shares {
		if s.waiting > 0 {
			n++
		}
	}
	return n
}
