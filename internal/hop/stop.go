package hop

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// errStopping is the cause of the end of requests that a stop aborts.
var errStopping = errors.New("hop: the daemon stops")

// Stop bounds the requests of a daemon that stops. It is safe for concurrent use.
type Stop struct {
	latest  atomic.Int64    // latest deadline of requests that arrive, an ident.Instant; zero without a bound
	aborted context.Context // ends with the requests in progress
	abort   context.CancelFunc
}

// NewStop returns the bounds of a daemon that does not stop yet.
func NewStop() *Stop {
	s := &Stop{}
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// LimitDeadlines bounds the deadlines of the requests that arrive from now on.
func (s *Stop) LimitDeadlines(latest ident.Instant) { s.latest.Store(int64(latest)) }

// Abort ends the requests in progress.
func (s *Stop) Abort() { s.abort() }

// Deadline returns a deadline, or the bound if that is earlier.
func (s *Stop) Deadline(d ident.Instant) ident.Instant {
	if latest := ident.Instant(s.latest.Load()); latest > 0 {
		return min(d, latest)
	}
	return d
}

// Context returns a context that ends with ctx and when requests are aborted.
func (s *Stop) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	remove := context.AfterFunc(s.aborted, func() { cancel(errStopping) })
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// Failure returns the failure of a request whose context is ctx. If a stop aborted the
// request, it says so, and what is known of the execution.
func (s *Stop) Failure(ctx context.Context, e *errkind.Error) *errkind.Error {
	if e == nil || e.Kind != errkind.Canceled || !errors.Is(context.Cause(ctx), errStopping) {
		return e
	}
	if e.Answer().Truth == errkind.NotRun {
		return errkind.New(errkind.Draining, "%w: %w", errStopping, e)
	}
	return errkind.New(errkind.OutcomeUnknown, "%w: %w", errStopping, e)
}
