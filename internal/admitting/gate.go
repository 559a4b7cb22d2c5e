// Package admitting connects the goroutines that serve requests with the admission
// core of one backend server. Gate passes arrivals, ends and ticks to the core and
// lets each goroutine wait for the core's command on its request. It implements
// pipeline.Admission. A caller that got a slot holds it until it calls the release
// function that it received with the slot.
package admitting

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/room"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// tickInterval is the time between two ticks of the admission core.
const tickInterval = 50 * time.Millisecond

// Gate admits requests to the slots of one backend server. It is safe for concurrent
// use.
type Gate struct {
	clock ident.Clock

	mu      sync.Mutex // guards all fields below
	core    *admission.Core
	waiters map[admission.ID]chan admission.Command // channels of the waiting requests, with a buffer of one; each gets one command
	lastID  admission.ID                            // of the last request that arrived

	slots, reserved int             // as announced
	learnt          *room.Estimator // nil: the announced slots alone count
	inForce         int             // slots that the core knows, if the room is learnt
	classes         map[admission.ID]admission.Class
}

// NewGate returns a gate with the given policy and no requests. Its owner must run
// Run.
func NewGate(cfg admission.Config, clock ident.Clock) *Gate {
	return &Gate{
		clock:   clock,
		core:    admission.New(cfg),
		waiters: make(map[admission.ID]chan admission.Command),
		slots:   cfg.Slots, reserved: cfg.ReservedSlots,
	}
}

// SlotUsage is the number of running and of waiting requests at one instant.
type SlotUsage struct {
	Running int
	Waiting int
}

// SlotUsage returns the present number of running and of waiting requests.
func (g *Gate) SlotUsage() SlotUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return SlotUsage{Running: g.core.RunningCount(), Waiting: g.core.WaitingCount()}
}

// LimitUse returns the requests that arrive per second as a fraction of the limit; zero
// without a limit.
func (g *Gate) LimitUse() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.LimitUse(g.clock.Now())
}

// MeanServiceTime returns the expected service time of a class, zero if nothing has run yet.
func (g *Gate) MeanServiceTime(c admission.Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.MeanServiceTime(c)
}

// SetSlots changes the number of slots and the minimum number of slots that are
// reserved for short classes.
func (g *Gate) SetSlots(slots, reserved int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.reserved = slots, reserved
	if g.learnt != nil {
		g.learnt.SetSlots(slots)
		g.inForce = g.usefulSlots(g.clock.Now())
		slots = g.inForce
	}
	g.deliverCommands(g.core.SetSlots(slots, min(reserved, slots), g.clock.Now()))
}

// SetLimit changes the number of requests that may start per second; zero means any
// number.
func (g *Gate) SetLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverCommands(g.core.SetLimit(perSecond, g.clock.Now()))
}

// SetCold states that the server is cold until an instant, zero if it is not, and what its
// service tolerates meanwhile.
func (g *Gate) SetCold(b admission.ColdBound, until ident.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverCommands(g.core.SetCold(b, until, g.clock.Now()))
}

// SuspectCold states that the server may be cold until an instant, although it has not said so.
func (g *Gate) SuspectCold(until ident.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SuspectCold(until, g.clock.Now())
}

// Run is the duty that ticks the admission core until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.tick()
		}
	}
}

// tick ticks the admission core and delivers its commands.
func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.learnt != nil {
		if n := g.usefulSlots(now); n != g.inForce {
			g.inForce = n
			g.deliverCommands(g.core.SetSlots(n, min(g.reserved, n), now))
		}
	}
	g.deliverCommands(g.core.Tick(now))
}

// Acquire waits for a slot for request r and returns the function that releases it.
// The caller passes the service time to that function, or 0 if the request never
// reached the backend server. Acquire fails with Overloaded, DeadlineBeforeStart or
// BackendUnavailable, which all mean that the request did not run, or with the error
// of ctx.
func (g *Gate) Acquire(ctx context.Context, r *pipeline.Request) (func(time.Duration), error) {
	return g.Admit(ctx, admission.Arrival{
		Class:    ClassOf(r),
		Tenant:   r.Service.Tenant,
		Deadline: r.Deadline,
	})
}

// Admit is like Acquire, but the caller describes the request by an arrival. Admit
// sets the arrival's ID.
func (g *Gate) Admit(ctx context.Context, a admission.Arrival) (func(time.Duration), error) {
	id, wait, cmd := g.arrive(a)
	if cmd == nil {
		select {
		case cmd = <-wait:
		case <-ctx.Done():
			g.cancel(id)
			return nil, ctx.Err()
		}
	}
	if refuse, ok := cmd.(admission.Refuse); ok {
		return nil, refusalError(refuse)
	}
	return func(served time.Duration) { g.release(id, served) }, nil
}

// arrive passes an arrival to the admission core. It returns the command for the
// request if the core decides at once, else the channel on which the command will
// arrive.
func (g *Gate) arrive(a admission.Arrival) (admission.ID, <-chan admission.Command, admission.Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	a.ID = g.lastID
	cmds := g.core.Arrive(a, g.clock.Now())
	if g.learnt != nil {
		g.classes[a.ID] = a.Class
		g.recordStarts(cmds)
	}
	if len(cmds) == 1 && requestID(cmds[0]) == a.ID {
		return a.ID, nil, cmds[0]
	}
	wait := make(chan admission.Command, 1)
	g.waiters[a.ID] = wait
	g.send(cmds)
	return a.ID, wait, nil
}

// requestID returns the ID of the request that a command concerns.
func requestID(c admission.Command) admission.ID {
	switch c := c.(type) {
	case admission.Start:
		return c.ID
	case admission.Refuse:
		return c.ID
	}
	return 0
}

// deliverCommands records the starts among the commands and sends each to the goroutine that
// waits for it. The caller holds g.mu.
func (g *Gate) deliverCommands(cmds []admission.Command) {
	g.recordStarts(cmds)
	g.send(cmds)
}

// send sends each command to the goroutine that waits for it. A waiting goroutine gets exactly
// one command. The caller holds g.mu.
func (g *Gate) send(cmds []admission.Command) {
	for _, c := range cmds {
		id := requestID(c)
		if wait := g.waiters[id]; wait != nil {
			wait <- c
			delete(g.waiters, id)
		}
	}
}

// cancel removes a request whose context ended, even if the core started it in the
// meantime.
func (g *Gate) cancel(id admission.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.recordEnd(id, 0)
	g.deliverCommands(g.core.Cancel(id, g.clock.Now()))
}

// release returns the slot of a request to the core. A request that was not served is
// canceled, so that it does not count in the service time of its class.
func (g *Gate) release(id admission.ID, served time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.recordEnd(id, served)
	if served <= 0 {
		g.deliverCommands(g.core.Cancel(id, now))
		return
	}
	g.deliverCommands(g.core.Finish(id, now))
}

// refusalError returns the error for the caller of a refused request.
func refusalError(c admission.Refuse) error {
	var e *errkind.Error
	switch c.Reason {
	case admission.DeadlineExpired:
		e = errkind.New(errkind.DeadlineBeforeStart, "the rest of the deadline is shorter than the expected service time")
	case admission.NoSlots:
		e = errkind.New(errkind.BackendUnavailable, "no backend server is announced here")
	case admission.QueueFull:
		e = errkind.New(errkind.Overloaded, "the queue is full")
	default:
		e = errkind.New(errkind.Overloaded, "the expected wait passes the deadline")
	}
	e.RetryAfter = c.RetryAfter
	return e
}

// ClassOf returns the class of a request: its service, its method and the first path
// segment after the service and the key. All segments that contain a digit count as
// the same segment.
func ClassOf(r *pipeline.Request) admission.Class {
	_, rest := pipeline.ServiceName(r.HeaderValue(pipeline.HeaderService), r.URI)
	if r.Service.Mode == config.Keyed && r.Service.KeyFrom == config.KeyFromPath {
		_, rest, _ = strings.Cut(rest, "/")
	}
	segment, _, _ := strings.Cut(rest, "/")
	if strings.ContainsAny(segment, "0123456789") {
		segment = "*"
	}
	return admission.Class(string(r.Service.Name) + " " + r.Method + " " + segment)
}
