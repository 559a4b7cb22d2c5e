package edge

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// Target is a daemon beside a backend server that may run a request.
type Target struct {
	Peer  mesh.Peer
	Local bool // this daemon
}

// Chooser finds targets and learns from what became of requests.
type Chooser interface {
	// ChooseTarget returns the target for a request, leaving out hosts that were tried.
	// More says that others would be left. The error is of the closed list.
	ChooseTarget(r *hop.Request, tried []ident.Host) (t Target, more bool, err *errkind.Error)
	// RecordSent and Done enclose one attempt.
	RecordSent(t Target, r *hop.Request)
	RecordAnswer(t Target, r *hop.Request, a *hop.Answer)
	// DaemonCount is the number of daemons that share a budget of repeats.
	DaemonCount() int
	// IsSharded reports whether keys of a service have one owner.
	IsSharded(s ident.Service) bool
}

// Sender sends a request to the daemon of a target.
type Sender interface {
	Send(ctx context.Context, to mesh.Peer, r *hop.Request) *hop.Answer
}

// Budget bounds the repeats of one service by all daemons together.
type Budget struct {
	Window    time.Duration
	Ratio     float64 // repeats a request
	Allowance float64 // repeats besides
}

// Limits of the attempts of one request.
const (
	maxTries = 40 // sends, those included that reached no backend server

	// maxMoving bounds how long a request waits for keys that change their owner: a
	// move takes one heartbeat of each of the two servers.
	maxMoving = 900 * time.Millisecond

	// maxRefused bounds the sends that backend servers refused, which do not count
	// against the attempts that a route allows: nothing ran. A server that sheds half
	// of its requests takes seven of eight in three.
	maxRefused = 3

	// budgetPart is the part of the shared budget that is used: the repeats of
	// calls that a repeated request makes count as well and are not seen here. Such
	// calls have no key, so that sharded services get none; what is left of their
	// budget covers windows that begin at other instants than the daemon's.
	budgetPart        = 0.5
	shardedBudgetPart = 0.85
)

// Dispatcher runs the attempts of requests.
type Dispatcher struct {
	self    ident.Host
	choose  Chooser
	local   hop.Handler
	remote  Sender
	clock   ident.Clock
	log     *zap.Logger
	budget  Budget
	metrics Metrics
	spans   *hop.Spans // nil makes none

	mu      sync.Mutex // guards the fields below
	split   *routes.Splitter
	budgets map[ident.Service]*retry.WindowBudget
}

// Metrics counts what the dispatcher does.
type Metrics interface {
	CountRequest(route string, kind string, took time.Duration)
	CountRepeat(service string)
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(self ident.Host, c Chooser, local hop.Handler, remote Sender, b Budget, m Metrics, clock ident.Clock, log *zap.Logger) *Dispatcher {
	return &Dispatcher{
		self: self, choose: c, local: local, remote: remote, clock: clock, log: log, budget: b, metrics: m,
		split:   routes.NewSplitter(),
		budgets: make(map[ident.Service]*retry.WindowBudget),
	}
}

// SetSpans makes the dispatcher record spans.
func (d *Dispatcher) SetSpans(s *hop.Spans) { d.spans = s }

// attempts is the progress of one request.
type attempts struct {
	tries   int
	reached int // sends that reached a backend server
	refused int // of these, those that it said it did not run
	rounds  int
	tried   []ident.Host
	leaves  errkind.Truth // what the attempts so far leave
	more    bool
}

// Serve runs a request and returns its answer.
func (d *Dispatcher) Serve(ctx context.Context, r *hop.Request, route *routes.Route) *hop.Answer {
	begun := d.clock.Now()
	r.Service = d.first(route, begun)
	end := d.spans.Start(r, "burdock.request", trace.SpanKindServer)
	var p attempts
	var a *hop.Answer
	for {
		a = d.attempt(ctx, r, &p)
		if a.Failure == nil || !d.again(ctx, r, route, &p, a.Failure, begun) {
			break
		}
	}
	end(a)
	kind := "answered"
	if a.Failure != nil {
		kind = a.Failure.Kind.String()
	}
	took := d.clock.Now().Sub(begun)
	d.metrics.CountRequest(r.Route, kind, took)
	d.log.Info("request_done", zap.String("request_id", r.ID), zap.String("route", r.Route),
		zap.String("service", string(r.Service)), zap.Int("key", r.Key), zap.Strings("hosts", hosts(p.tried)),
		zap.Int("tries", p.tries), zap.Int("reached", p.reached), zap.String("outcome", kind),
		zap.Int("status", a.Status), zap.Duration("took", took))
	return a
}

func hosts(hs []ident.Host) []string {
	out := make([]string, len(hs))
	for i, h := range hs {
		out[i] = string(h)
	}
	return out
}

// first chooses the route's service for the request and counts it.
func (d *Dispatcher) first(route *routes.Route, now ident.Instant) ident.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.split.Next(route)
	d.budgetOf(s).RecordRequest(now)
	return s
}

// budgetOf returns the budget of a service. The caller holds d.mu.
func (d *Dispatcher) budgetOf(s ident.Service) *retry.WindowBudget {
	b := d.budgets[s]
	if b == nil {
		b = retry.NewWindowBudget(d.budget.Window, d.budget.Ratio*d.budgetPart(s))
		d.budgets[s] = b
	}
	return b
}

func (d *Dispatcher) budgetPart(s ident.Service) float64 {
	if d.choose.IsSharded(s) {
		return shardedBudgetPart
	}
	return budgetPart
}

func (d *Dispatcher) attempt(ctx context.Context, r *hop.Request, p *attempts) *hop.Answer {
	p.tries++
	target, more, e := d.choose.ChooseTarget(r, p.tried)
	p.more = more
	if e != nil {
		return hop.Fail(e)
	}
	p.tried = append(p.tried, target.Peer.Member.Host)
	d.choose.RecordSent(target, r)
	end := d.spans.Start(r, "burdock.attempt", trace.SpanKindClient)
	var a *hop.Answer
	if target.Local {
		a = d.local.Serve(ctx, r)
	} else {
		a = d.remote.Send(ctx, target.Peer, r)
	}
	end(a)
	d.choose.RecordAnswer(target, r, a)
	if a.Reached {
		p.reached++
		if a.Failure != nil && a.Failure.Kind == errkind.BackendRefused {
			p.refused++
		}
	}
	return a
}

// again decides after a failure whether the request is sent once more, and waits
// until then. Otherwise the failure says what all attempts together leave.
func (d *Dispatcher) again(ctx context.Context, r *hop.Request, route *routes.Route, p *attempts, e *errkind.Error, begun ident.Instant) bool {
	sharded := d.choose.IsSharded(r.Service)
	now := d.clock.Now()
	policy := retry.DefaultPolicy()
	policy.MaxAttempts = max(route.MaxAttempts, 1)
	policy.MaxAttemptsDuringMove = maxTries
	f := retry.Failure{
		Kind: e.Kind, Truth: e.Answer().Truth, Point: retry.FailurePointOf(e.Kind), PriorTruth: p.leaves,
		Repeatable: route.Idempotent, BodyReplayable: true, UntriedTargets: p.more && !sharded, Pooled: !sharded,
		Attempts: p.reached - p.refused, CompletedRounds: p.rounds, TimeLeft: r.Left(now),
	}
	p.leaves = f.CombinedTruth()
	e.Truth = p.leaves
	next, ok := policy.Decide(f).(retry.RunAgain)
	if !ok || p.tries >= maxTries || ctx.Err() != nil {
		return false
	}
	if !f.UntriedTargets && now.Sub(begun) > maxMoving || p.reached-p.refused >= policy.MaxAttempts || p.refused >= maxRefused {
		return false
	}
	if p.reached > 0 && !d.repeat(r.Service, now) {
		return false
	}
	if !p.more {
		p.rounds++
		p.tried = p.tried[:0]
	}
	d.log.Info("request_again", zap.String("request_id", r.ID), zap.Stringer("kind", e.Kind),
		zap.Int("reached", p.reached), zap.Duration("after", next.Delay), zap.String("detail", e.Detail))
	return sleep(ctx, next.Delay)
}

// repeat takes one repeat from the service's budget.
func (d *Dispatcher) repeat(s ident.Service, now ident.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	allowance := d.budget.Allowance * d.budgetPart(s) / float64(max(d.choose.DaemonCount(), 1))
	if !d.budgetOf(s).TryRetry(now, allowance) {
		return false
	}
	d.metrics.CountRepeat(string(s))
	return true
}

// sleep waits and reports whether the context is still good.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
