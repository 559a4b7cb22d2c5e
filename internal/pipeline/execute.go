package pipeline

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// BackendCapabilities says whether the backend server checks grants itself. For one that does
// not, a request is handed over only if the lease covers its deadline.
type BackendCapabilities interface {
	ChecksGrants() bool
}

// executor hands requests to the backend server beside this daemon.
type executor struct {
	self    ident.Member
	addr    string // caller address of this daemon
	leases  Leases
	backend Handler // turns a panic into an error
	guard   BackendCapabilities
	clock   ident.Clock
	record  *IdempotencyStore
}

// Handle holds the slice's lease for as long as the request is in flight.
func (x *executor) Handle(ctx context.Context, r *Request) (*Response, error) {
	r.Started = 0
	if r.Service.Mode != config.Keyed {
		r.Epoch = 0
		return x.run(ctx, r, nil)
	}
	lease, release, err := x.leases.Hold(ctx, r.Slice)
	if err != nil {
		return nil, notStarted(err)
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

// run records the Idempotency-Key before the hand-over and its outcome after.
func (x *executor) run(ctx context.Context, r *Request, l *Lease) (*Response, error) {
	if r.IdempotencyKey == "" {
		return x.handOver(ctx, r, l)
	}
	if err := x.record.begin(r); err != nil {
		return nil, err
	}
	resp, err := x.handOver(ctx, r, l)
	if err != nil {
		x.record.end(r, errkind.As(err).Answer().Truth, nil)
		return nil, err
	}
	return x.record.capture(r, resp)
}

// handOver checks the lease as the last step before the first byte, since the
// process may have been paused.
func (x *executor) handOver(ctx context.Context, r *Request, l *Lease) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notStarted(err)
	}
	if l != nil {
		if err := x.leases.Check(r.Slice, *l, x.coverUntil(r)); err != nil {
			return nil, err
		}
	}
	r.Started = x.clock.Now()
	resp, err := x.backend.Handle(ctx, r)
	if err != nil {
		return nil, err
	}
	resp.ServedBy = x.self
	resp.OwnerAddr = x.addr
	if resp.Truth == "" {
		resp.Truth = errkind.Ran
	}
	return resp, nil
}

func (x *executor) coverUntil(r *Request) ident.Instant {
	if x.guard.ChecksGrants() {
		return x.clock.Now()
	}
	return r.Deadline
}
