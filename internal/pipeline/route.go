package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Retry budget of one service.
const (
	retryRatio = 0.1 // long-term average of retries per request
	retryBurst = 20  // maximum number of retries in a burst
)

// router sends a caller's request to a daemon that may serve it. After a failure
// the retry policy decides whether router tries again or returns the error.
type router struct {
	locator Locator
	peers   Peers
	local   Handler // runs requests on the backend server beside this daemon
	clock   ident.Clock
	policy  retry.Policy
	budgets retryBudgets
}

// retryBudgets holds one retry budget per service.
type retryBudgets struct {
	mu        sync.Mutex // guards byService and the budgets in it
	byService map[ident.Service]*retry.Budget
}

// get returns the budget of a service, which it creates if needed. The caller holds
// b.mu.
func (b *retryBudgets) get(s ident.Service) *retry.Budget {
	if b.byService == nil {
		b.byService = make(map[ident.Service]*retry.Budget)
	}
	budget := b.byService[s]
	if budget == nil {
		budget = retry.NewBudget(retryRatio, retryBurst)
		b.byService[s] = budget
	}
	return budget
}

// recordRequest credits one request to the budget of its service.
func (b *retryBudgets) recordRequest(s ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(s).RecordRequest()
}

// tryRetry takes one retry from the service's budget and reports whether the budget
// allowed it.
func (b *retryBudgets) tryRetry(s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(s).TryRetry()
}

// attemptState is the state of the attempts of one request. A round is one pass
// over the targets of the route.
type attemptState struct {
	body            *replayableBody
	triedInRound    []ident.Member
	attempts        int
	completedRounds int
	priorTruth      errkind.Truth // combined execution status of the attempts so far
	untriedTargets  bool          // the last route had targets that were not tried in this round
}

// Handle makes attempts until one of them returns an answer or the retry policy
// decides against another attempt.
func (t *router) Handle(ctx context.Context, r *Request) (*Response, error) {
	t.budgets.recordRequest(r.Service.Name)
	p := attemptState{}
	if r.Body != nil {
		p.body = newReplayableBody(r.Body)
	}
	for {
		resp, err := t.attempt(ctx, r, &p)
		if err == nil {
			return resp, nil
		}
		failure := errkind.As(classifyError(ctx, err))
		if err := t.awaitRetry(ctx, r, &p, failure); err != nil {
			return nil, err
		}
	}
}

// attempt sends the request to the next target.
func (t *router) attempt(ctx context.Context, r *Request, p *attemptState) (*Response, error) {
	p.attempts++
	if p.body != nil {
		body, ok := p.body.nextAttempt()
		if !ok {
			return nil, errkind.New(errkind.Internal, "the body cannot be sent again")
		}
		r.Body = body
	}
	target, err := t.nextTarget(r, p)
	if err != nil {
		return nil, err
	}
	if target.Local {
		return t.local.Handle(ctx, r)
	}
	return t.peers.Forward(ctx, target, r)
}

// nextTarget returns the first target of the current route that was not tried in
// this round. When all targets were tried, it begins a new round.
func (t *router) nextTarget(r *Request, p *attemptState) (Target, error) {
	route, err := t.locate(r, p)
	if err != nil {
		p.untriedTargets = false
		return Target{}, err
	}
	untried := excludeTried(route.Targets, p.triedInRound)
	if len(untried) == 0 {
		p.triedInRound = p.triedInRound[:0]
		untried = route.Targets
	}
	if len(untried) == 0 {
		p.untriedTargets = false
		return Target{}, noTargetError(r)
	}
	p.untriedTargets = len(untried) > 1
	p.triedInRound = append(p.triedInRound, untried[0].Member)
	return untried[0], nil
}

// locate returns the current route of the request, and sets the slice of a keyed
// request.
func (t *router) locate(r *Request, p *attemptState) (Route, error) {
	if r.Service.Mode != config.Keyed {
		return t.locatePool(r, p)
	}
	route, err := t.locator.LocateKey(r.Service, r.KeyHash)
	if err != nil {
		return Route{}, err
	}
	r.Slice = route.Slice
	return route, nil
}

// locatePool returns the pool's targets. For a request with an Idempotency-Key it
// returns only the target that holds the key's record.
func (t *router) locatePool(r *Request, p *attemptState) (Route, error) {
	if r.IdempotencyKey == "" {
		return t.locator.LocatePool(r.Service, p.triedInRound)
	}
	route, err := t.locator.LocatePool(r.Service, nil)
	if err != nil || len(route.Targets) == 0 {
		return route, err
	}
	route.Targets = []Target{rendezvousTarget(route.Targets, r.IdempotencyKey)}
	return route, nil
}

// rendezvousTarget returns the target with the greatest weight for the key by
// rendezvous hashing (Thaler, Ravishankar 1998). Every daemon therefore sends a
// repeat to the same target as long as the pool does not change.
func rendezvousTarget(targets []Target, key string) Target {
	best, bestWeight := targets[0], uint64(0)
	for _, t := range targets {
		weight := xxhash.Sum64String(string(t.Member.Host) + "\x00" + key)
		if weight >= bestWeight {
			best, bestWeight = t, weight
		}
	}
	return best
}

// noTargetError returns the error for a request whose route has no target.
func noTargetError(r *Request) error {
	if r.Service.Mode == config.Keyed {
		return errkind.New(errkind.NoOwner, "slice %s", r.Slice)
	}
	return errkind.New(errkind.BackendUnavailable, "service %q has no backend server", r.Service.Name)
}

// excludeTried returns the targets whose members are not in tried.
func excludeTried(targets []Target, tried []ident.Member) []Target {
	if len(tried) == 0 {
		return targets
	}
	var untried []Target
	for _, t := range targets {
		if !contains(tried, t.Member) {
			untried = append(untried, t)
		}
	}
	return untried
}

func contains(members []ident.Member, m ident.Member) bool {
	for _, o := range members {
		if o == m {
			return true
		}
	}
	return false
}

// awaitRetry asks the retry policy how to go on after the error e. It waits for the
// delay and returns nil if the request is to be tried again, and otherwise returns
// the error for the caller.
func (t *router) awaitRetry(ctx context.Context, r *Request, p *attemptState, e *errkind.Error) error {
	f := t.describeFailure(r, p, e)
	p.priorTruth = f.CombinedTruth()
	d := t.policy.Decide(f)
	runAgain, ok := d.(retry.RunAgain)
	if ok && runAgain.CostsBudget && !t.budgets.tryRetry(r.Service.Name) {
		d, ok = runAgain.Fallback, false
	}
	if !ok {
		return withTruth(e, d)
	}
	if !p.untriedTargets {
		p.completedRounds++
		p.triedInRound = p.triedInRound[:0]
	}
	if err := sleep(ctx, runAgain.Delay); err != nil {
		return withTruth(e, runAgain.Fallback)
	}
	return nil
}

// describeFailure returns the retry policy's input for the error e.
func (t *router) describeFailure(r *Request, p *attemptState, e *errkind.Error) retry.Failure {
	return retry.Failure{
		Kind:       e.Kind,
		Truth:      e.Answer().Truth,
		Point:      retry.FailurePointOf(e.Kind),
		PriorTruth: p.priorTruth,

		Repeatable:      r.Repeatable,
		BodyReplayable:  p.body == nil || p.body.rewindable(),
		UntriedTargets:  p.untriedTargets,
		Pooled:          r.Service.Mode != config.Keyed,
		Attempts:        p.attempts,
		CompletedRounds: p.completedRounds,
		TimeLeft:        r.Deadline.Sub(t.clock.Now()),
	}
}

// withTruth returns a copy of e with the execution status that the decision states.
func withTruth(e *errkind.Error, d retry.Decision) error {
	out := *e
	switch d.(type) {
	case retry.RefuseNotRun:
		out.Truth = errkind.NotRun
	case retry.AnswerRan:
		out.Truth = errkind.Ran
	default:
		out.Truth = errkind.Unknown
	}
	return &out
}

// sleep waits for d, or returns the context's error when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
