package duty

import (
	"context"
	"fmt"
	"sync"

	"github.com/sourcegraph/conc"
)

// Func is the function of a duty. It must return when ctx ends. If it returns an error
// before that, the whole group ends; if it returns nil, the other duties continue.
type Func func(ctx context.Context) error

// Group runs duties, each in a goroutine of its own. A panic or an error in one of them
// cancels the context of all, and Wait returns it.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     conc.WaitGroup

	mu  sync.Mutex // guards err
	err error
}

// NewGroup returns a group whose context is derived from ctx, so that its duties end
// when ctx ends.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go starts a duty. The name identifies the duty in the error that Wait returns. An
// error that the duty returns after the group's context has ended is ignored.
func (g *Group) Go(name string, f Func) {
	g.wg.Go(func() {
		var err error
		if panicked := Contain(func() { err = f(g.ctx) }); panicked != nil {
			err = panicked
		}
		if err != nil && g.ctx.Err() == nil {
			g.failWith(fmt.Errorf("duty %s: %w", name, err))
		}
	})
}

// failWith records err if it is the first failure, and cancels the group.
func (g *Group) failWith(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// Context returns the context of the duties. It ends when the group stops or a duty
// fails.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the context of the duties and does not wait for them to end.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until every duty has ended and returns the first failure.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel(context.Canceled)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
