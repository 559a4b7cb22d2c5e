package sidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// moveRetryAfter is the delay after which a caller may retry a request whose key is
// changing its owner: about one heartbeat of the next owner's server.
const moveRetryAfter = 500 * time.Millisecond

// executor runs requests on the backend server beside the daemon. It implements
// hop.Handler, for requests of this daemon's callers and of other daemons.
type executor struct {
	server      *server
	ownership   *ownership
	gate        *admitting.Gate
	client      *origin.Client
	crashes     *crashWatch
	suspects    *suspects
	chains      *chains
	evacuations *evacuations
	stop        *hop.Stop
	clock       ident.Clock
	regions     *regionGuard

	metrics *metrics
	tracer  *hop.Tracer // nil records no spans
	log     *zap.Logger

	refuseNew atomic.Bool // new requests are refused as draining
}

// Serve implements hop.Handler.
func (x *executor) Serve(ctx context.Context, r *hop.Request) *hop.Answer {
	arrived := x.clock.Now()
	ctx, cancel := x.stop.Context(ctx)
	defer cancel()
	r.Deadline = x.stop.Deadline(r.Deadline)
	x.server.recordPeerAdvisory(r.Advisory)
	end := x.tracer.Start(r, "burdock.execute", trace.SpanKindClient)
	fingerprint := sync.OnceValue(r.Fingerprint)
	x.suspects.learn(fingerprint, r.Suspicion)
	a := x.admitAndRun(ctx, r, fingerprint)
	a.Failure = x.stop.Failure(ctx, a.Failure)
	a.Suspicion = x.suspects.judge(fingerprint).Suspicion
	end(a)
	l := x.gate.SlotUsage()
	a.Advisory = x.server.advisory()
	a.Load = hop.Load{Running: l.Running, Waiting: l.Waiting, Slots: x.server.rosterEntry().Slots}
	a.Load.Room, a.Load.Pace = x.gate.Room()
	x.metrics.recordServiceTime(r.Route, a.ServiceTime)
	if e := a.Failure; e != nil {
		x.metrics.countDeclined(e.Kind.String())
		now := x.clock.Now()
		x.log.Info("server_declined", zap.String("request_id", r.ID), zap.String("service", string(r.Service)), zap.Int("key", r.Key),
			zap.Stringer("kind", e.Kind), zap.Bool("reached", a.ReachedBackend), zap.Int("running", l.Running), zap.Int("waiting", l.Waiting),
			zap.Int("slots", a.Load.Slots), zap.Float64("room", a.Load.Room), zap.Duration("after", now.Sub(arrived)), zap.Duration("left", r.TimeLeft(now)), zap.String("detail", e.Detail))
	}
	return a
}

// admitAndRun waits until the request may run and for a slot, and runs it. It checks before
// and after the wait whether the server may run it.
func (x *executor) admitAndRun(ctx context.Context, r *hop.Request, fingerprint func() quarantine.Fingerprint) *hop.Answer {
	for {
		if e := x.checkAllowed(r); e != nil {
			return hop.FailedAnswer(e)
		}
		if a, ran := x.isolateAndRun(ctx, r, fingerprint); ran {
			return a
		}
	}
}

// isolateAndRun isolates the request if it is suspected, and runs it. ran is as that of admit.
func (x *executor) isolateAndRun(ctx context.Context, r *hop.Request, fingerprint func() quarantine.Fingerprint) (a *hop.Answer, ran bool) {
	isolated, end, e := x.suspects.isolate(ctx, r, fingerprint)
	if e != nil {
		return hop.FailedAnswer(e), true
	}
	defer end()
	return x.admit(ctx, r, fingerprint, isolated)
}

// admit waits for a slot and runs the request. ran is false if the request has fallen under
// suspicion meanwhile, and has to be isolated.
func (x *executor) admit(ctx context.Context, r *hop.Request, fingerprint func() quarantine.Fingerprint, isolated bool) (a *hop.Answer, ran bool) {
	if e := x.chains.admit(r); e != nil {
		return hop.FailedAnswer(e), true
	}
	release, err := x.gate.Admit(ctx, admission.Arrival{
		Class: admission.Class(r.Route), Deadline: r.Deadline, Target: r.TargetTime, Priority: r.Priority, Caller: r.Caller,
	})
	if err != nil {
		x.recordRefusedLoad(r, err)
		return hop.FailedAnswer(admissionError(ctx, err)), true
	}
	if e := x.checkAllowed(r); e != nil { // the state may have changed while the request waited
		release(0)
		return hop.FailedAnswer(e), true
	}
	v := x.suspects.judge(fingerprint)
	if v.Refused > 0 || v.Suspicion > 0 && !isolated {
		release(0)
		return nil, false
	}
	run := quarantine.Run{Fingerprint: fingerprint, RequestID: r.ID, Suspicion: v.Suspicion}
	return x.runAdmitted(ctx, r, run, release), true
}

// recordRefusedLoad adds a request that got no slot to the load of its key.
func (x *executor) recordRefusedLoad(r *hop.Request, err error) {
	var e *errkind.Error
	if r.Key != hop.NoKey && errors.As(err, &e) && e.Kind == errkind.Overloaded {
		x.ownership.recordServiceTime(r.Service, keyrange.Key(r.Key), x.gate.MeanServiceTime(admission.Class(r.Route)))
	}
}

// runAdmitted sends an admitted request to the server. It calls release with the service
// time, or with zero if the server did not answer.
func (x *executor) runAdmitted(ctx context.Context, r *hop.Request, run quarantine.Run, release func(time.Duration)) *hop.Answer {
	started := x.clock.Now()
	target, _, ok := x.server.target(r.Service)
	if !ok {
		release(0)
		return hop.FailedAnswer(errkind.New(errkind.BackendUnavailable, "the backend server has gone"))
	}
	id, endRun := x.crashes.beginRun(run), x.chains.beginRun(r)
	a := x.client.Do(ctx, target, r)
	endRun(a)
	if x.crashes.endRun(id, target, a) == quarantine.Answered {
		x.suspects.clear(run.Fingerprint)
	}
	if a.Statement != nil {
		x.server.recordStatement(target.ID, *a.Statement, started)
		x.gate.RecordPace(a.Statement.Load.Pace)
	}
	x.metrics.countServerRequest(a.ReachedBackend)
	serviceTime := x.clock.Now().Sub(started)
	if a.Failure != nil {
		release(0)
	} else {
		a.ServiceTime = serviceTime
		release(serviceTime)
	}
	if a.ReachedBackend && r.Key != hop.NoKey {
		x.ownership.recordServiceTime(r.Service, keyrange.Key(r.Key), serviceTime)
	}
	switch {
	case a.Failure == nil || a.Failure.Kind != errkind.BackendUnavailable:
	case errors.Is(a.Failure, syscall.ECONNREFUSED):
		x.crashes.handleServerEnd(target)
	default:
		x.server.handleConnectionRefused(target)
	}
	return a
}

// checkAllowed returns nil if the server may run the request now, otherwise the reason.
func (x *executor) checkAllowed(r *hop.Request) *errkind.Error {
	if e := x.regions.check(r); e != nil {
		return e
	}
	_, leaving, ok := x.server.target(r.Service)
	sharded := x.ownership.isSharded(r.Service)
	if ok {
		if e := x.evacuations.refusal(sharded); e != nil {
			return e
		}
	}
	switch {
	case x.refuseNew.Load():
		return withMoveRetryAfter(errkind.New(errkind.Draining, "the daemon stops"))
	case !ok:
		return errkind.New(errkind.BackendUnavailable, "no backend server of %q is here", r.Service)
	case leaving && !sharded:
		return errkind.New(errkind.Draining, "the backend server leaves")
	case !sharded:
		return nil
	case r.Key == hop.NoKey:
		return errkind.New(errkind.KeyMissing, "service %q is divided by key", r.Service)
	case x.ownership.mayServe(r.Service, keyrange.Key(r.Key)):
		return nil
	}
	return withMoveRetryAfter(errkind.New(errkind.NotOwner, "key %d is not held here", r.Key))
}

// admissionError returns the failure of a request that did not get a slot.
func admissionError(ctx context.Context, err error) *errkind.Error {
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
