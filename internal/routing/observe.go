package routing

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// errMemberLost ends a request that waits for a member whose lease group was
// claimed by another.
var errMemberLost = errors.New("routing: the member was lost")

// ObservePeers wraps the peers so that the router learns how requests end, and so
// that a repeatable request does not wait out its deadline at a member that was
// lost.
func (r *Router) ObservePeers(p pipeline.Peers) pipeline.Peers {
	return &observedPeers{next: p, router: r}
}

type observedPeers struct {
	next   pipeline.Peers
	router *Router
}

// Forward passes the request on and notes its end.
func (o *observedPeers) Forward(ctx context.Context, to pipeline.Target, q *pipeline.Request) (*pipeline.Response, error) {
	o.router.sent(to.Member)
	forward := o.next.Forward
	if q.Repeatable {
		forward = o.forwardWatched
	}
	resp, err := forward(ctx, to, q)
	o.router.ended(to.Member, err)
	return resp, err
}

// forwardWatched gives the request up, with an unknown outcome, once the log
// shows that the target was lost. A request that must not run again waits for
// its answer instead: it may still come.
func (o *observedPeers) forwardWatched(ctx context.Context, to pipeline.Target, q *pipeline.Request) (*pipeline.Response, error) {
	watched, cancel := context.WithCancelCause(ctx)
	w := o.router.losses.add(to.Member, cancel)
	resp, err := o.next.Forward(watched, to, q)
	o.router.losses.remove(to.Member, w)
	if err == nil {
		resp.Body = &cancelingBody{ReadCloser: resp.Body, cancel: cancel}
		return resp, nil
	}
	lost := ctx.Err() == nil && errors.Is(context.Cause(watched), errMemberLost)
	cancel(nil)
	if lost && errkind.As(err).Answer().Truth != errkind.NotRun {
		return nil, errkind.New(errkind.OutcomeUnknown, "%s was lost: %w", to.Member, err)
	}
	return nil, err
}

// cancelingBody releases the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and releases the context.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// lossWatch holds the requests that wait for an answer of each member.
type lossWatch struct {
	mu      sync.Mutex // guards waiters
	waiters map[ident.Member]map[*waiter]struct{}
}

// waiter is one request that waits.
type waiter struct{ cancel context.CancelCauseFunc }

func (l *lossWatch) add(m ident.Member, cancel context.CancelCauseFunc) *waiter {
	w := &waiter{cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiters == nil {
		l.waiters = map[ident.Member]map[*waiter]struct{}{}
	}
	if l.waiters[m] == nil {
		l.waiters[m] = map[*waiter]struct{}{}
	}
	l.waiters[m][w] = struct{}{}
	return w
}

func (l *lossWatch) remove(m ident.Member, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters[m], w)
	if len(l.waiters[m]) == 0 {
		delete(l.waiters, m)
	}
}

// cancelLost ends the requests to members for which lost holds.
func (l *lossWatch) cancelLost(lost func(ident.Member) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for m, ws := range l.waiters {
		if !lost(m) {
			continue
		}
		for w := range ws {
			w.cancel(errMemberLost)
		}
	}
}

// TableChanged ends the waits for members that the new table shows as lost. It
// does not block.
func (r *Router) TableChanged() {
	t := r.tables.Table()
	r.losses.cancelLost(func(m ident.Member) bool {
		if info, ok := t.Member(m); !ok || !info.Present || info.LostGroup {
			return true
		}
		g, ok := t.Group(m)
		return ok && g.Holder != m
	})
}
