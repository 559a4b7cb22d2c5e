package edge

import (
	"context"
	"math/rand/v2"
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
	Local bool // Peer is this daemon
}

// Chooser selects targets for requests and learns from their answers.
type Chooser interface {
	// ChooseTarget returns a target for a request that is not among the tried hosts.
	// more reports whether untried targets remain after this one. The error is one of
	// the closed list in package errkind.
	ChooseTarget(r *hop.Request, tried []ident.Host) (t Target, more bool, err *errkind.Error)
	// RecordSent is called before an attempt, RecordAnswer after it.
	RecordSent(t Target, r *hop.Request)
	// took is the time from one to the other.
	RecordAnswer(t Target, r *hop.Request, a *hop.Answer, took time.Duration)
	// LeastTime returns the least times that an answer to a request needs, each zero if it
	// is not known: the way to the target and back, and the service time.
	LeastTime(t Target, r *hop.Request) (way, service time.Duration)
	// DaemonCount returns the number of daemons that share the repeat budget.
	DaemonCount() int
	// IsSharded reports whether each key of a service has one owner.
	IsSharded(s ident.Service) bool
}

// Sender sends a request to another daemon and returns its answer, which is never
// nil.
type Sender interface {
	Send(ctx context.Context, to mesh.Peer, r *hop.Request) *hop.Answer
}

// Budget limits the repeats of requests to one service. All daemons together stay
// within it.
type Budget struct {
	Window    time.Duration
	Ratio     float64 // repeats per request
	Allowance float64 // repeats in each window in addition to the ratio, for all daemons
}

// Limits of the attempts of one request.
const (
	maxAttempts = 40 // including attempts that reached no backend server

	// maxMoveWait limits how long a request waits for a key that changes its owner: a
	// move takes one heartbeat of each of the two servers.
	maxMoveWait = 900 * time.Millisecond

	// maxRefused limits the attempts that backend servers refused. They do not count
	// against the attempts that a route allows, because the request did not run. A
	// server that sheds half of its requests accepts seven of eight within three
	// attempts.
	maxRefused = 3

	// budgetShare is the share of the budget that a daemon uses for a service that is
	// not sharded. The rest covers repeats that this daemon does not see: those of
	// calls that a repeated request makes itself.
	budgetShare = 0.5
	// shardedBudgetShare is the share for a sharded service. Calls made by a repeated
	// request carry no key, so they never go to a sharded service; the rest only
	// covers windows that do not begin at the same instant as the daemon's.
	shardedBudgetShare = 0.85
)

// Dispatcher sends requests to targets and repeats failed attempts.
type Dispatcher struct {
	self    ident.Host
	chooser Chooser
	local   hop.Handler // runs requests on the backend server beside this daemon
	remote  Sender
	clock   ident.Clock
	log     *zap.Logger
	budget  Budget
	metrics Metrics
	tracer  *hop.Tracer // nil records no spans

	mu       sync.Mutex // guards the fields below
	splitter *routes.Splitter
	budgets  map[ident.Service]*retry.WindowBudget
}

// Metrics counts requests and repeats.
type Metrics interface {
	// CountRequest records the outcome of a request, "answered" or the name of an
	// error kind, and the time from its arrival to its answer.
	CountRequest(route string, kind string, took time.Duration)
	// CountRepeat records that a request was sent to a service once more.
	CountRepeat(service string)
}

// NewDispatcher returns a dispatcher for the daemon on host self. local serves
// requests whose target is this daemon, remote sends all others.
func NewDispatcher(self ident.Host, c Chooser, local hop.Handler, remote Sender, b Budget, m Metrics, clock ident.Clock, log *zap.Logger) *Dispatcher {
	return &Dispatcher{
		self: self, chooser: c, local: local, remote: remote, clock: clock, log: log, budget: b, metrics: m,
		splitter: routes.NewSplitter(),
		budgets:  make(map[ident.Service]*retry.WindowBudget),
	}
}

// SetTracer makes the dispatcher record spans. It must be called before Serve.
func (d *Dispatcher) SetTracer(t *hop.Tracer) { d.tracer = t }

// progress is the state of one request across its attempts.
type progress struct {
	attempts int
	reached  int           // attempts that reached a backend server
	refused  int           // attempts of those that the server stated it did not run
	rounds   int           // completed rounds through all targets
	tried    []ident.Host  // hosts tried in this round
	truth    errkind.Truth // what is known of the execution after the attempts so far
	more     bool          // untried targets remain in this round
}

// Serve runs a request that matched a route and returns its answer, which is never
// nil.
func (d *Dispatcher) Serve(ctx context.Context, r *hop.Request, route *routes.Route) *hop.Answer {
	started := d.clock.Now()
	r.Service, r.Regions = d.assignService(route, started), route.Regions
	endSpan := d.tracer.Start(r, "burdock.request", trace.SpanKindServer)
	var p progress
	var a *hop.Answer
	for {
		a = d.attempt(ctx, r, &p)
		if a.Failure == nil || !d.prepareRepeat(ctx, r, route, &p, a.Failure, started) {
			break
		}
	}
	endSpan(a)
	outcome := "answered"
	if e := a.Failure; e != nil {
		outcome = e.Kind.String()
		if retry.IsLoadRefusal(e.Kind) && e.Answer().Truth == errkind.NotRun {
			e.RetryAfter = retry.ReturnDelay(e.RetryAfter, r.TimeLeft(d.clock.Now()), rand.Float64())
		}
	}
	took := d.clock.Now().Sub(started)
	d.metrics.CountRequest(r.Route, outcome, took)
	d.log.Info("request_done", zap.String("request_id", r.ID), zap.String("route", r.Route),
		zap.String("service", string(r.Service)), zap.Int("key", r.Key), zap.Strings("hosts", hostNames(p.tried)),
		zap.Int("tries", p.attempts), zap.Int("reached", p.reached), zap.String("outcome", outcome),
		zap.Int("status", a.Status), zap.Duration("took", took))
	return a
}

func hostNames(hosts []ident.Host) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return names
}

// assignService returns the service of the route that serves the next request, and
// counts the request in the budget of that service.
func (d *Dispatcher) assignService(route *routes.Route, now ident.Instant) ident.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.splitter.Next(route)
	d.budgetOf(s).RecordRequest(now)
	return s
}

// budgetOf returns the repeat budget of a service. The caller holds d.mu.
func (d *Dispatcher) budgetOf(s ident.Service) *retry.WindowBudget {
	b := d.budgets[s]
	if b == nil {
		b = retry.NewWindowBudget(d.budget.Window, d.budget.Ratio*d.budgetShareOf(s))
		d.budgets[s] = b
	}
	return b
}

func (d *Dispatcher) budgetShareOf(s ident.Service) float64 {
	if d.chooser.IsSharded(s) {
		return shardedBudgetShare
	}
	return budgetShare
}

// attempt sends the request to one target and records the result in p.
func (d *Dispatcher) attempt(ctx context.Context, r *hop.Request, p *progress) *hop.Answer {
	p.attempts++
	target, more, e := d.chooser.ChooseTarget(r, p.tried)
	p.more = more
	if e != nil {
		return hop.FailedAnswer(e)
	}
	way, service := d.chooser.LeastTime(target, r)
	started := d.clock.Now()
	if left := r.TimeLeft(started); left < way+service {
		return hop.FailedAnswer(errkind.New(errkind.DeadlineBeforeStart, "%v are left, an answer takes at least %v", left, way+service))
	}
	p.tried = append(p.tried, target.Peer.Member.Host)
	d.chooser.RecordSent(target, r)
	endSpan := d.tracer.Start(r, "burdock.attempt", trace.SpanKindClient)
	var a *hop.Answer
	if target.Local {
		a = d.local.Serve(ctx, r)
	} else {
		a = d.remote.Send(ctx, target.Peer, bringForward(r, way, started))
	}
	endSpan(a)
	d.chooser.RecordAnswer(target, r, a, d.clock.Now().Sub(started))
	if a.ReachedBackend {
		p.reached++
		if a.Failure != nil && a.Failure.Kind == errkind.BackendRefused {
			p.refused++
		}
	}
	return a
}

// answerMargin is the part of the time left that is kept for the work of the daemons on an
// answer.
const answerMargin = 0.02

// bringForward returns a request as it is sent to another daemon, with times that include
// the way back: a refusal at the deadline would come too late to say that the request has not
// run.
func bringForward(r *hop.Request, way time.Duration, now ident.Instant) *hop.Request {
	earlier := way + time.Duration(answerMargin*float64(max(r.TimeLeft(now), 0)))
	sent := *r
	sent.Deadline = r.Deadline.Add(-earlier)
	if r.TargetTime > 0 {
		sent.TargetTime = r.TargetTime.Add(-way)
	}
	return &sent
}

// prepareRepeat decides after a failed attempt whether the request is sent once more.
// If so, it waits out the delay and returns true. In any case it sets the truth of e
// to what is known of the execution after all attempts together.
func (d *Dispatcher) prepareRepeat(ctx context.Context, r *hop.Request, route *routes.Route, p *progress, e *errkind.Error, started ident.Instant) bool {
	sharded := d.chooser.IsSharded(r.Service)
	now := d.clock.Now()
	policy := retry.DefaultPolicy()
	policy.MaxAttempts = max(route.MaxAttempts, 1)
	policy.MaxAttemptsDuringMove = maxAttempts
	f := retry.Failure{
		Kind: e.Kind, Truth: e.Answer().Truth, Point: retry.FailurePointOfError(e), PriorTruth: p.truth,
		Repeatable: route.Idempotent, BodyReplayable: true, UntriedTargets: p.more && !sharded, Pooled: !sharded,
		Attempts: p.reached - p.refused, CompletedRounds: p.rounds, TimeLeft: r.TimeLeft(now),
	}
	p.truth = f.CombinedTruth()
	e.Truth = p.truth
	next, ok := policy.Decide(f).(retry.RunAgain)
	if !ok || p.attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !f.UntriedTargets && now.Sub(started) > maxMoveWait || p.reached-p.refused >= policy.MaxAttempts || p.refused >= maxRefused {
		return false
	}
	if p.reached > 0 && !d.spendRepeat(r.Service, now) {
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

// spendRepeat deducts one repeat from the budget of a service. It returns false if the
// budget is exhausted.
func (d *Dispatcher) spendRepeat(s ident.Service, now ident.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	allowance := d.budget.Allowance * d.budgetShareOf(s) / float64(max(d.chooser.DaemonCount(), 1))
	if !d.budgetOf(s).TryRetry(now, allowance) {
		return false
	}
	d.metrics.CountRepeat(string(s))
	return true
}

// sleep waits for d or the end of ctx, and reports whether ctx is still active.
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
