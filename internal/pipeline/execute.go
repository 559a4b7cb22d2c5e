package pipeline

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// BackendCapabilities reports whether the backend server checks grants itself. For
// a server that does not, the executor dispatches a request only if the lease
// covers the request's deadline.
type BackendCapabilities interface {
	ChecksGrants() bool
}

// executor dispatches requests to the backend server beside this daemon.
type executor struct {
	self         ident.Member
	callerAddr   string // caller address of this daemon
	leases       Leases
	backend      Handler // converts a panic into an error
	capabilities BackendCapabilities
	clock        ident.Clock
	idempotency  *IdempotencyStore
}

// Handle runs the request and, for a keyed service, holds the slice's lease until
// the request fails or the answer's body is closed.
func (x *executor) Handle(ctx context.Context, r *Request) (*Response, error) {
	r.Started = 0
	if r.Service.Mode != config.Keyed {
		r.Epoch = 0
		return x.run(ctx, r, nil)
	}
	lease, release, err := x.leases.Hold(ctx, r.Slice)
	if err != nil {
		return nil, notStartedError(err)
	}
	r.Epoch = lease.Epoch
	resp, err := x.run(ctx, r, &lease)
	if err != nil {
		release()
		return nil, err
	}
	resp.Body = onClose(resp.Body, release)
	return resp, nil
}

// run dispatches the request. If the request has an Idempotency-Key, run records
// the key before the dispatch and the outcome after it.
func (x *executor) run(ctx context.Context, r *Request, l *Lease) (*Response, error) {
	if r.IdempotencyKey == "" {
		return x.dispatch(ctx, r, l)
	}
	if err := x.idempotency.beginRun(r); err != nil {
		return nil, err
	}
	resp, err := x.dispatch(ctx, r, l)
	if err != nil {
		x.idempotency.endRun(r, errkind.As(err).Answer().Truth, nil)
		return nil, err
	}
	return x.idempotency.captureAnswer(r, resp)
}

// dispatch sends the request to the backend server. It checks the lease as the last
// step before the first byte, since the process may have been paused.
func (x *executor) dispatch(ctx context.Context, r *Request, l *Lease) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notStartedError(err)
	}
	if l != nil {
		if err := x.leases.Check(r.Slice, *l, x.requiredLeaseEnd(r)); err != nil {
			return nil, err
		}
	}
	r.Started = x.clock.Now()
	resp, err := x.backend.Handle(ctx, r)
	if err != nil {
		return nil, err
	}
	resp.ServedBy = x.self
	resp.OwnerAddr = x.callerAddr
	if resp.Truth == "" {
		resp.Truth = errkind.Ran
	}
	return resp, nil
}

// requiredLeaseEnd returns the instant that the lease must cover for the dispatch.
func (x *executor) requiredLeaseEnd(r *Request) ident.Instant {
	if x.capabilities.ChecksGrants() {
		return x.clock.Now()
	}
	return r.Deadline
}
