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
	retryRatio = 0.1 // retries a request in the long run
	retryBurst = 20  // retries at once
)

// router sends a request to a daemon that may serve it, and decides after a
// failure what happens next.
type router struct {
	locator Locator
	peers   Peers
	local   Handler // serves on the backend server beside this daemon
	clock   ident.Clock
	policy  retry.Policy
	budgets budgets
}

// budgets holds one retry budget a service.
type budgets struct {
	mu        sync.Mutex // guards byService and the budgets in it
	byService map[ident.Service]*retry.Budget
}

func (b *budgets) get(s ident.Service) *retry.Budget {
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

func (b *budgets) request(s ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(s).RecordRequest()
}

func (b *budgets) retry(s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(s).TryRetry()
}

// progress is the state of the attempts of one request.
type progress struct {
	body     *replay
	tried    []ident.Member // in this round
	attempts int
	rounds   int
	leaves   errkind.Truth // what the attempts so far leave
	others   bool          // the last route had targets that were not tried
}

// Handle runs attempts until one answers or the retry table gives up.
func (t *router) Handle(ctx context.Context, r *Request) (*Response, error) {
	t.budgets.request(r.Service.Name)
	p := progress{}
	if r.Body != nil {
		p.body = newReplay(r.Body)
	}
	for {
		resp, err := t.attempt(ctx, r, &p)
		if err == nil {
			return resp, nil
		}
		failure := errkind.As(contextKind(ctx, err))
		if err := t.wait(ctx, r, &p, failure); err != nil {
			return nil, err
		}
	}
}

func (t *router) attempt(ctx context.Context, r *Request, p *progress) (*Response, error) {
	p.attempts++
	if p.body != nil {
		body, ok := p.body.attempt()
		if !ok {
			return nil, errkind.New(errkind.Internal, "the body cannot be sent again")
		}
		r.Body = body
	}
	target, err := t.target(r, p)
	if err != nil {
		return nil, err
	}
	if target.Local {
		return t.local.Handle(ctx, r)
	}
	return t.peers.Forward(ctx, target, r)
}

// target returns the first target of the current route that was not tried in
// this round. When all were tried a new round begins.
func (t *router) target(r *Request, p *progress) (Target, error) {
	route, err := t.locate(r, p)
	if err != nil {
		p.others = false
		return Target{}, err
	}
	left := untried(route.Targets, p.tried)
	if len(left) == 0 {
		p.tried = p.tried[:0]
		left = route.Targets
	}
	if len(left) == 0 {
		p.others = false
		return Target{}, noTarget(r)
	}
	p.others = len(left) > 1
	p.tried = append(p.tried, left[0].Member)
	return left[0], nil
}

func (t *router) locate(r *Request, p *progress) (Route, error) {
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

// locatePool returns the pool's targets; for a request with an Idempotency-Key
// only the one that holds the key's record.
func (t *router) locatePool(r *Request, p *progress) (Route, error) {
	if r.IdempotencyKey == "" {
		return t.locator.LocatePool(r.Service, p.tried)
	}
	route, err := t.locator.LocatePool(r.Service, nil)
	if err != nil || len(route.Targets) == 0 {
		return route, err
	}
	route.Targets = []Target{home(route.Targets, r.IdempotencyKey)}
	return route, nil
}

// home returns the target with the greatest weight for the key: rendezvous
// hashing (Thaler, Ravishankar 1998), so that every daemon sends a repeat to the
// same target as long as the pool stays the same.
func home(targets []Target, key string) Target {
	best, bestWeight := targets[0], uint64(0)
	for _, t := range targets {
		weight := xxhash.Sum64String(string(t.Member.Host) + "\x00" + key)
		if weight >= bestWeight {
			best, bestWeight = t, weight
		}
	}
	return best
}

func noTarget(r *Request) error {
	if r.Service.Mode == config.Keyed {
		return errkind.New(errkind.NoOwner, "slice %s", r.Slice)
	}
	return errkind.New(errkind.BackendUnavailable, "service %q has no backend server", r.Service.Name)
}

func untried(targets []Target, tried []ident.Member) []Target {
	if len(tried) == 0 {
		return targets
	}
	var left []Target
	for _, t := range targets {
		if !contains(tried, t.Member) {
			left = append(left, t)
		}
	}
	return left
}

func contains(members []ident.Member, m ident.Member) bool {
	for _, o := range members {
		if o == m {
			return true
		}
	}
	return false
}

// wait asks the retry table. It returns nil after the delay when the request
// runs again, else the error for the caller.
func (t *router) wait(ctx context.Context, r *Request, p *progress, e *errkind.Error) error {
	f := t.failure(r, p, e)
	p.leaves = f.CombinedTruth()
	d := t.policy.Decide(f)
	again, ok := d.(retry.RunAgain)
	if ok && again.CostsBudget && !t.budgets.retry(r.Service.Name) {
		d, ok = again.Fallback, false
	}
	if !ok {
		return withTruth(e, d)
	}
	if !p.others {
		p.rounds++
		p.tried = p.tried[:0]
	}
	if err := sleep(ctx, again.Delay); err != nil {
		return withTruth(e, again.Fallback)
	}
	return nil
}

func (t *router) failure(r *Request, p *progress, e *errkind.Error) retry.Failure {
	return retry.Failure{
		Kind:       e.Kind,
		Truth:      e.Answer().Truth,
		Point:      retry.FailurePointOf(e.Kind),
		PriorTruth: p.leaves,

		Repeatable:      r.Repeatable,
		BodyReplayable:  p.body == nil || p.body.rewindable(),
		UntriedTargets:  p.others,
		Pooled:          r.Service.Mode != config.Keyed,
		Attempts:        p.attempts,
		CompletedRounds: p.rounds,
		TimeLeft:        r.Deadline.Sub(t.clock.Now()),
	}
}

// withTruth returns e with the truth of the decision.
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
