// Package admission decides when a request may start on the backend server
// beside the daemon. The caller passes in events (arrivals, ends, cancellations,
// ticks) with their instants and carries out the commands that Core returns; the
// package does no I/O and reads no clock. The number of running requests never
// exceeds the number of slots, unless SetSlots lowers it while requests run. A
// request waits only while it is expected to meet its deadline; otherwise Core
// refuses it. Short classes of work go first, and a bound on overtaking keeps long
// work from starving.
//
// The queue is ordered by shortest expected processing time with linear ageing:
// the rank of a request is its arrival plus its class's mean service time times
// Config.ServiceTimeWeight, where the added lead is at most Config.MaxOvertake. So
// a request that arrived more than MaxOvertake later never overtakes, with two
// exceptions: short classes overtake on the slots that are reserved for them, and
// any request overtakes one that is late (see late.go). With Config.CallsFirst, the order is
// that of order.go.
package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ID identifies a request from its arrival until it ends or is refused.
type ID uint64

// Class is the name of a group of requests with similar service times.
type Class string

// Config is the admission policy for one backend server.
type Config struct {
	Slots             int                      // maximum number of running requests
	ReservedSlots     int                      // minimum number of slots that only short classes may use
	MaxQueue          int                      // maximum number of waiting requests
	ServiceTimeWeight float64                  // a request's rank is its arrival plus this multiple of its class's mean service time
	MaxOvertake       time.Duration            // maximum that the mean service time adds to the rank
	ShortClassFactor  float64                  // a class is short if its mean is at most this multiple of the typical service time
	TenantWeights     map[ident.Tenant]float64 // relative shares of the slots; 1 for a tenant without an entry
	CallsFirst        bool                     // calls of running work go first and have room kept; see calls.go and order.go
}

// DefaultConfig returns the default policy for a backend server with the given
// number of slots.
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

// Arrival describes a request that asks for a slot.
type Arrival struct {
	ID       ID
	Class    Class
	Tenant   ident.Tenant
	Deadline ident.Instant
	Target   ident.Instant // an answer is preferred by this instant; zero means the deadline
	Priority int           // order among late requests, with CallsFirst among all but calls; 0 is the most urgent
	Caller   string        // service on the host where the request originated; empty if unknown
}

// Command is an action for the caller of this package: Start or Refuse.
type Command interface{ admissionCommand() }

// Start tells the caller to run a request, which now occupies a slot.
type Start struct{ ID ID }

// Reason is the reason why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	QueueFull         Reason = iota // Config.MaxQueue requests wait already
	WouldMissDeadline               // the expected wait and service time end after the deadline
	DeadlineExpired                 // the request waited until too little time was left before its deadline
	NoSlots                         // the backend server has no slots, or none is announced
)

// Refuse tells the caller that a request will not run. RetryAfter is the expected
// wait in the queue where that is known, else zero.
type Refuse struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
}

func (Start) admissionCommand()  {}
func (Refuse) admissionCommand() {}

// waitingRequest is a request in the queue. Its estimates are those of its class at
// the time of its arrival.
type waitingRequest struct {
	Arrival
	arrived     ident.Instant
	rank        ident.Instant // order in the queue; the lowest rank is first
	meanService time.Duration // mean service time of its class
	highService time.Duration // high quantile of the service time of its class
	short       bool
	call        bool // of running work; see calls.go
	late        bool // the request can no longer meet its target
	share       *tenantShare
}

// latestStart returns the last instant at which the request may start and still
// meet its deadline, by the high quantile of the service time of its class.
func (w *waitingRequest) latestStart() ident.Instant { return w.Deadline.Add(-w.highService) }

// runningRequest is a request that occupies a slot.
type runningRequest struct {
	class   Class
	tenant  ident.Tenant
	started ident.Instant
	short   bool
	call    bool
	trial   bool
}

// Core holds the waiting and running requests of one backend server and decides
// which of them start. It is not safe for concurrent use.
type Core struct {
	cfg                 Config
	estimates           *classEstimates
	queue               []waitingRequest // in ascending order of rank
	queuedWork          classWork        // sum of meanService over queue
	earliestStateChange ident.Instant    // no request in queue expires or becomes late before this instant
	passNumber          uint64           // number of the current pass of nextIndex over the queue
	running             map[ID]runningRequest
	shares              map[ident.Tenant]*tenantShare
	reserve             slotReserve
	inflow              inflow
	limit               startLimit
	arrivals            inflow          // of all requests, late and refused ones too
	freeTimesBuf        []time.Duration // buffer that slotFreeTimes reuses
	callers             callLearner
	calls               callRoom
	served              servedRatios
}

// New returns a core with the given policy and no requests.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		estimates: newClassEstimates(cfg.ShortClassFactor),
		running:   make(map[ID]runningRequest),
		shares:    make(map[ident.Tenant]*tenantShare),
	}
}

// RunningCount returns the number of slots in use.
func (c *Core) RunningCount() int { return len(c.running) }

// WaitingCount returns the number of requests in the queue.
func (c *Core) WaitingCount() int { return len(c.queue) }

// ReservedSlots returns the number of slots that are at present reserved for short
// classes.
func (c *Core) ReservedSlots() int { return c.reserve.size(c.cfg) }

// MeanServiceTime returns the expected service time of a class, zero if nothing has run yet.
func (c *Core) MeanServiceTime(k Class) time.Duration { return c.estimates.meanServiceTime(k) }

// SetSlots changes the number of slots and the minimum number of reserved slots,
// for example after a new announcement of the backend server. Running requests are
// not affected.
func (c *Core) SetSlots(slots, reserved int, now ident.Instant) []Command {
	c.cfg.Slots = slots
	c.cfg.ReservedSlots = reserved
	return c.dispatch(now, nil)
}

// Arrive adds a request, which starts, waits or is refused. If it waits, none of the
// returned commands concerns it.
func (c *Core) Arrive(a Arrival, now ident.Instant) []Command {
	if c.cfg.Slots <= 0 {
		return c.expireQueued(now, []Command{Refuse{ID: a.ID, Reason: NoSlots}})
	}
	c.limit.refill(now)
	c.arrivals.add(0, now)
	c.reactivateTenant(a.Tenant)
	w := c.newWaitingRequest(a, now)
	cmds := c.expireQueued(now, nil)
	if len(c.queue) == 0 && c.canStart(&w) {
		switch {
		case now <= w.latestStart():
			c.inflow.add(w.meanService, now)
			return append(cmds, c.start(&w, now))
		case c.mayTry(&w, now):
			return append(cmds, c.startTrial(&w, now))
		}
	}
	wait := c.expectedWait(&w, now)
	if now.Add(wait) > w.latestOnTimeStart() {
		w.markLate()
		wait = c.stretchLateWait(c.expectedWait(&w, now), now)
	}
	if now.Add(wait+w.highService) > w.Deadline {
		return append(cmds, Refuse{ID: a.ID, Reason: WouldMissDeadline, RetryAfter: wait})
	}
	if len(c.queue) >= c.cfg.MaxQueue {
		return append(cmds, Refuse{ID: a.ID, Reason: QueueFull, RetryAfter: wait})
	}
	if !w.late {
		c.inflow.add(w.meanService, now)
	}
	c.insert(w)
	return c.dispatch(now, cmds)
}

// newWaitingRequest returns the queue entry of an arrival, with the present
// estimates of its class.
func (c *Core) newWaitingRequest(a Arrival, now ident.Instant) waitingRequest {
	if a.Target == 0 || a.Target > a.Deadline {
		a.Target = a.Deadline
	}
	expected := c.estimates.meanServiceTime(a.Class)
	w := waitingRequest{
		Arrival:     a,
		arrived:     now,
		rank:        now.Add(c.lead(&a, expected)),
		meanService: expected,
		highService: c.estimates.highServiceTime(a.Class),
		short:       c.estimates.isShort(a.Class),
		share:       c.shareOf(a.Tenant),
	}
	c.applyOrder(&w, now)
	return w
}

// Finish removes a running request that has ended and adds its service time to the
// estimate of its class.
func (c *Core) Finish(id ID, now ident.Instant) []Command {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.remove(id, r)
	served := now.Sub(r.started)
	if r.call { // short against all new work, which is no reason to hold that back
		c.estimates.getOrCreate(r.class).addSample(max(float64(served), 1))
	} else {
		c.estimates.recordServiceTime(r.class, served)
		c.calls.recordNewWork(served)
	}
	if r.trial {
		c.estimates.getOrCreate(r.class).forget(float64(served))
	}
	c.chargeTenant(r.tenant, served)
	return c.dispatch(now, nil)
}

// Cancel removes a waiting or running request, for example because its caller has
// gone. The service time of a canceled request does not count in the estimate of
// its class.
func (c *Core) Cancel(id ID, now ident.Instant) []Command {
	if r, ok := c.running[id]; ok {
		c.remove(id, r)
		c.chargeTenant(r.tenant, now.Sub(r.started))
		return c.dispatch(now, nil)
	}
	for i := range c.queue {
		if c.queue[i].ID == id {
			c.removeAt(i)
			break
		}
	}
	return nil
}

// Tick does the periodic work: it refuses waiting requests that are not expected to
// meet their deadline, raises the estimates of classes whose requests run longer
// than expected, and updates the number of reserved slots.
func (c *Core) Tick(now ident.Instant) []Command {
	short, calls := 0, 0
	for _, r := range c.running {
		c.estimates.recordOverrun(r.class, now.Sub(r.started))
		switch {
		case r.call: // they have room of their own
			calls++
		case r.short:
			short++
		}
	}
	c.reserve.recordSample(short, len(c.running)-short-calls)
	if c.cfg.CallsFirst {
		c.calls.decay(now)
		return c.dispatch(now, c.refuseUnservable(now, nil))
	}
	return c.dispatch(now, c.refuseExpectedMisses(now, nil))
}

// canStart reports whether the limit allows a start and a slot is free for the request.
// Only short classes may use the reserved slots, and only calls those that are kept for them.
func (c *Core) canStart(w *waitingRequest) bool {
	return c.limit.allows() && c.cfg.Slots-len(c.running) > c.keptFrom(w)
}

// start adds a request to the running requests and returns its Start command.
func (c *Core) start(w *waitingRequest, now ident.Instant) Command {
	c.running[w.ID] = runningRequest{class: w.Class, tenant: w.Tenant, started: now, short: w.short, call: w.call}
	if w.call {
		c.calls.running++
	}
	c.served.recordStart(w.Class)
	c.shareOf(w.Tenant).running++
	if e := c.estimates.byClass[w.Class]; e != nil {
		e.startedAt = now
	}
	c.limit.spend()
	return Start{ID: w.ID}
}

// remove removes a running request.
func (c *Core) remove(id ID, r runningRequest) {
	delete(c.running, id)
	if r.call {
		c.calls.running--
	}
}
