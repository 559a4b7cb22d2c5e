// Package admitting lets goroutines wait for the decisions of the admission
// core. It implements pipeline.Admission for one backend server.
package admitting

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// tickInterval is the time between two reviews of the queue.
const tickInterval = 50 * time.Millisecond

// Gate guards the slots of one backend server. It is safe for concurrent use.
type Gate struct {
	clock ident.Clock

	mu      sync.Mutex // guards all fields below
	core    *admission.Core
	waiters map[admission.ID]chan admission.Command // one slot each; sent to once
	next    admission.ID
}

// NewGate returns a gate with the given policy.
func NewGate(cfg admission.Config, clock ident.Clock) *Gate {
	return &Gate{
		clock:   clock,
		core:    admission.New(cfg),
		waiters: make(map[admission.ID]chan admission.Command),
	}
}

// SlotUsage is the use of the slots at one instant.
type SlotUsage struct {
	Running int
	Waiting int
}

// SlotUsage returns the use of the slots now.
func (g *Gate) SlotUsage() SlotUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return SlotUsage{Running: g.core.RunningCount(), Waiting: g.core.WaitingCount()}
}

// SetSlots changes the number of slots and how many of them only short classes
// take.
func (g *Gate) SetSlots(slots, reserved int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.SetSlots(slots, reserved, g.clock.Now()))
}

// Run is the duty that reviews the queue until ctx ends.
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

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Tick(g.clock.Now()))
}

// Acquire waits for a slot. It fails with Overloaded or DeadlineBeforeStart, both
// not run, or with the error of ctx.
func (g *Gate) Acquire(ctx context.Context, r *pipeline.Request) (func(time.Duration), error) {
	return g.Admit(ctx, admission.Arrival{
		Class:    ClassOf(r),
		Tenant:   r.Service.Tenant,
		Deadline: r.Deadline,
	})
}

// Admit is Acquire for work that is described by an arrival; its ID is set here.
func (g *Gate) Admit(ctx context.Context, a admission.Arrival) (func(time.Duration), error) {
	id, wait, cmd := g.arrive(a)
	if cmd == nil {
		select {
		case cmd = <-wait:
		case <-ctx.Done():
			g.leave(id)
			return nil, ctx.Err()
		}
	}
	if refuse, ok := cmd.(admission.Refuse); ok {
		return nil, refusal(refuse)
	}
	return func(served time.Duration) { g.release(id, served) }, nil
}

// arrive returns the command for the request if it is decided at once, else the
// channel on which it will come.
func (g *Gate) arrive(a admission.Arrival) (admission.ID, <-chan admission.Command, admission.Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	a.ID = g.next
	cmds := g.core.Arrive(a, g.clock.Now())
	if len(cmds) == 1 && idOf(cmds[0]) == a.ID {
		return a.ID, nil, cmds[0]
	}
	wait := make(chan admission.Command, 1)
	g.waiters[a.ID] = wait
	g.deliver(cmds)
	return a.ID, wait, nil
}

func idOf(c admission.Command) admission.ID {
	switch c := c.(type) {
	case admission.Start:
		return c.ID
	case admission.Refuse:
		return c.ID
	}
	return 0
}

// deliver hands commands to their waiters. A waiter gets exactly one.
func (g *Gate) deliver(cmds []admission.Command) {
	for _, c := range cmds {
		id := idOf(c)
		if wait := g.waiters[id]; wait != nil {
			wait <- c
			delete(g.waiters, id)
		}
	}
}

// leave withdraws a request whose context ended, even if it was started in the
// meantime.
func (g *Gate) leave(id admission.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.deliver(g.core.Cancel(id, g.clock.Now()))
}

func (g *Gate) release(id admission.ID, served time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if served <= 0 {
		g.deliver(g.core.Cancel(id, now))
		return
	}
	g.deliver(g.core.Finish(id, now))
}

func refusal(c admission.Refuse) error {
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

// ClassOf returns the class of work of a request: its service, method and the
// first path segment after service and key. Segments with digits count as one.
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
