package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// moveTime is when a caller may ask again for keys that change their owner: one
// heartbeat of the next owner's server.
const moveTime = 500 * time.Millisecond

// exit runs requests on the backend server beside the daemon. It implements
// hop.Handler for requests of this daemon's callers and of other daemons.
type exit struct {
	server *server
	owners *owners
	gate   *admitting.Gate
	client *origin.Client
	clock  ident.Clock

	metrics *metrics
	spans   *hop.Spans // nil makes none
	log     *zap.Logger

	closed atomic.Bool // nothing new is taken
}

// Serve implements hop.Handler.
func (x *exit) Serve(ctx context.Context, r *hop.Request) *hop.Answer {
	arrived := x.clock.Now()
	end := x.spans.Start(r, "burdock.execute", trace.SpanKindClient)
	a := x.serve(ctx, r)
	end(a)
	l := x.gate.SlotUsage()
	a.Load = hop.Load{Running: l.Running, Waiting: l.Waiting, Slots: x.server.entry().Slots}
	x.metrics.answered(r.Route, a.Took)
	if e := a.Failure; e != nil {
		x.metrics.decline(e.Kind.String())
		now := x.clock.Now()
		x.log.Info("server_declined", zap.String("request_id", r.ID), zap.String("service", string(r.Service)), zap.Int("key", r.Key),
			zap.Stringer("kind", e.Kind), zap.Bool("reached", a.Reached), zap.Int("running", l.Running), zap.Int("waiting", l.Waiting),
			zap.Int("slots", a.Load.Slots), zap.Duration("after", now.Sub(arrived)), zap.Duration("left", r.Left(now)), zap.String("detail", e.Detail))
	}
	return a
}

func (x *exit) serve(ctx context.Context, r *hop.Request) *hop.Answer {
	if e := x.allowed(r); e != nil {
		return hop.Fail(e)
	}
	release, err := x.gate.Admit(ctx, admission.Arrival{
		Class: admission.Class(r.Route), Deadline: r.Deadline, Target: r.Target, Priority: r.Priority,
	})
	if err != nil {
		return hop.Fail(notAdmitted(ctx, err))
	}
	if e := x.allowed(r); e != nil { // it may have waited
		release(0)
		return hop.Fail(e)
	}
	return x.run(ctx, r, release)
}

// run hands an admitted request to the server.
func (x *exit) run(ctx context.Context, r *hop.Request, release func(time.Duration)) *hop.Answer {
	begun := x.clock.Now()
	target, _, ok := x.server.target(r.Service)
	if !ok {
		release(0)
		return hop.Fail(errkind.New(errkind.BackendUnavailable, "the backend server has gone"))
	}
	a := x.client.Do(ctx, target, r)
	served := x.clock.Now().Sub(begun)
	if a.Failure != nil {
		release(0)
	} else {
		a.Took = served
		release(served)
	}
	if a.Reached && r.Key != hop.NoKey {
		x.owners.served(r.Service, keyrange.Key(r.Key), served)
	}
	if a.Failure != nil && a.Failure.Kind == errkind.BackendUnavailable {
		x.server.refused()
	}
	return a
}

// allowed reports why the server may not get the request now, or nil.
func (x *exit) allowed(r *hop.Request) *errkind.Error {
	_, leaving, ok := x.server.target(r.Service)
	sharded := x.owners.sharded(r.Service)
	switch {
	case x.closed.Load():
		return moving(errkind.New(errkind.Draining, "the daemon stops"))
	case !ok:
		return errkind.New(errkind.BackendUnavailable, "no backend server of %q is here", r.Service)
	case leaving && !sharded:
		return errkind.New(errkind.Draining, "the backend server leaves")
	case !sharded:
		return nil
	case r.Key == hop.NoKey:
		return errkind.New(errkind.KeyMissing, "service %q is divided by key", r.Service)
	case x.owners.serves(r.Service, keyrange.Key(r.Key)):
		return nil
	}
	return moving(errkind.New(errkind.NotOwner, "key %d is not held here", r.Key))
}

// notAdmitted names why a request did not get a slot.
func notAdmitted(ctx context.Context, err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	kind := errkind.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineBeforeStart
	}
	e = errkind.New(kind, "while it waited for a slot: %w", err)
	e.Truth = errkind.NotRun
	return e
}
