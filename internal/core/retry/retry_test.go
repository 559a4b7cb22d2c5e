package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// nthFailure returns the i-th of all combinations of the inputs, or false after the
// last.
func nthFailure(i int) (retry.Failure, bool) {
	pick := func(n int) int {
		v := i % n
		i /= n
		return v
	}
	f := retry.Failure{
		Kind:            errkind.Kind(pick(int(errkind.RegionNotAllowed) + 1)),
		Truth:           []errkind.Truth{errkind.NotRun, errkind.Ran, errkind.Unknown}[pick(3)],
		Point:           retry.FailurePoint(pick(int(retry.InAnswer) + 1)),
		PriorTruth:      []errkind.Truth{"", errkind.NotRun, errkind.Ran, errkind.Unknown}[pick(4)],
		Repeatable:      pick(2) == 1,
		BodyReplayable:  pick(2) == 1,
		UntriedTargets:  pick(2) == 1,
		Pooled:          pick(2) == 1,
		Attempts:        []int{2, 3, 199, 200}[pick(4)],
		CompletedRounds: []int{0, 50}[pick(2)],
		TimeLeft:        []time.Duration{0, 5, 50, 1000}[pick(4)] * time.Millisecond,
	}
	return f, i == 0
}

// expectedDecision is an independent model of Policy.Decide. It derives, rule by
// rule, whether the request may run again and which execution status the caller
// gets otherwise.
func expectedDecision(p retry.Policy, f retry.Failure) (again bool, answered errkind.Truth) {
	notRun := f.Truth == errkind.NotRun && f.Point != retry.InFlight && f.Point != retry.InAnswer
	answered = errkind.Unknown
	if f.Truth == errkind.Ran || f.PriorTruth == errkind.Ran {
		answered = errkind.Ran
	}
	if notRun && (f.PriorTruth == errkind.NotRun || f.PriorTruth == "") {
		answered = errkind.NotRun
	}
	delay := p.FirstDelay << min(f.CompletedRounds, 20)
	if delay > p.MaxDelay {
		delay = p.MaxDelay
	}
	if f.UntriedTargets {
		delay = 0
	}
	if !f.BodyReplayable || f.TimeLeft < delay+p.MinTimeLeft {
		return false, answered
	}
	isOneOf := func(kinds ...errkind.Kind) bool {
		for _, k := range kinds {
			if f.Kind == k {
				return true
			}
		}
		return false
	}
	withinMax := f.Attempts < p.MaxAttempts
	switch {
	case notRun && isOneOf(errkind.NotOwner, errkind.NoOwner, errkind.LeaseLapsed, errkind.PeerUnreachable, errkind.Draining, errkind.HopLimit):
		return f.Attempts < p.MaxAttemptsDuringMove, answered
	case notRun && isOneOf(errkind.Overloaded, errkind.BackendUnavailable, errkind.BackendRefused, errkind.RateLimited, errkind.RegionNotAllowed):
		if !f.Pooled {
			return f.Kind == errkind.BackendRefused && withinMax, answered
		}
		return f.UntriedTargets && withinMax, answered
	case notRun && isOneOf(errkind.OutcomeUnknown, errkind.PeerProtocol, errkind.AnswerCut, errkind.Internal):
		return (f.Repeatable || f.Pooled && f.UntriedTargets) && withinMax, answered
	case !notRun && isOneOf(errkind.OutcomeUnknown, errkind.PeerProtocol, errkind.AnswerCut, errkind.Internal):
		return f.Repeatable && withinMax, answered
	}
	return false, answered
}

// truthOf returns the execution status that a decision without another attempt
// answers.
func truthOf(d retry.Decision) errkind.Truth {
	switch d.(type) {
	case retry.RefuseNotRun:
		return errkind.NotRun
	case retry.AnswerRan:
		return errkind.Ran
	default:
		return errkind.Unknown
	}
}

// TestDecideEqualsNaiveTable compares Decide with expectedDecision for all
// combinations of the inputs.
func TestDecideEqualsNaiveTable(t *testing.T) {
	p := retry.DefaultPolicy()
	i := 0
	for f, ok := nthFailure(i); ok; f, ok = nthFailure(i) {
		i++
		wantAgain, wantTruth := expectedDecision(p, f)
		d := p.Decide(f)
		again, runs := d.(retry.RunAgain)
		if runs {
			d = again.Fallback
		}
		if runs != wantAgain || truthOf(d) != wantTruth {
			t.Fatalf("%+v: again %v, %s; want %v, %s", f, runs, truthOf(d), wantAgain, wantTruth)
		}
		// A request that may have run is sent again only if it is repeatable. The
		// previous attempts were subject to the same rule.
		mayHaveRun := f.Truth != errkind.NotRun || f.Point == retry.InFlight || f.Point == retry.InAnswer
		if runs && mayHaveRun && !f.Repeatable {
			t.Fatalf("%+v: sent again", f)
		}
	}
	t.Logf("%d combinations", i)
}

// TestBudgetBoundsRetriesToItsRatio checks that, in any order of requests and
// retries, a budget allows at most burst retries plus the ratio of the requests.
func TestBudgetBoundsRetriesToItsRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, burst = 0.1, 5
		b := retry.NewBudget(ratio, burst)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retry") {
				if b.TryRetry() {
					retries++
				}
				continue
			}
			b.RecordRequest()
			requests++
		}
		assert.Assert(t, float64(retries) <= burst+ratio*float64(requests)+1e-6)
	})
}
