// Package retry decides what happens after an attempt of a request has failed. Its
// input is a Failure, which describes the attempt and what is left for another one;
// its output is a Decision: run the request again, refuse it as not run, or answer
// that it ran or that its outcome is unknown. A request that may have run is run
// again only if it is repeatable. Every hop uses the same rules. Budget and
// WindowBudget limit how many retries there are. The package does no I/O and reads
// no clock.
package retry

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// FailurePoint is the point in its course at which an attempt failed.
type FailurePoint uint8

// The points at which an attempt can fail.
const (
	BeforeSend FailurePoint = iota // this daemon sent no byte
	Refused                        // the peer or the backend server refused it explicitly
	InFlight                       // no answer arrived
	InAnswer                       // the answer ended before it was complete
)

// FailurePointOf returns the point at which an attempt that ended with kind k
// failed.
func FailurePointOf(k errkind.Kind) FailurePoint {
	switch k {
	case errkind.PeerUnreachable, errkind.NoOwner:
		return BeforeSend
	case errkind.OutcomeUnknown, errkind.PeerProtocol, errkind.Internal, errkind.DeadlineAfterStart, errkind.Canceled:
		return InFlight
	case errkind.AnswerCut:
		return InAnswer
	default:
		return Refused
	}
}

// FailurePointOfError returns the point at which an attempt that ended with e failed. An error
// of a kind that leaves the outcome open may state that the request has not run, for example
// when it was canceled before it was sent.
func FailurePointOfError(e *errkind.Error) FailurePoint {
	if p := FailurePointOf(e.Kind); p != InFlight || e.Truth != errkind.NotRun {
		return p
	}
	return Refused
}

// Failure describes a failed attempt and what is left for another one.
type Failure struct {
	Kind            errkind.Kind
	Truth           errkind.Truth // execution status that the attempt reported
	Point           FailurePoint
	PriorTruth      errkind.Truth // CombinedTruth of the previous attempts; empty for the first attempt
	Repeatable      bool          // the request may run more than once
	BodyReplayable  bool          // the request body can be sent again from its start
	UntriedTargets  bool          // at least one target has not been tried in this round
	Pooled          bool          // any backend server of the pool may serve the request
	Attempts        int           // attempts so far that count towards the limits of Policy
	CompletedRounds int           // completed rounds over all targets
	TimeLeft        time.Duration // time until the deadline
}

// Decision is what to do after a failure: RunAgain, RefuseNotRun, AnswerUnknown or
// AnswerRan.
type Decision interface{ decision() }

// RunAgain starts another attempt after Delay. If CostsBudget is set, the attempt
// may reach a busy backend server, so that the caller first takes a retry from the
// budget. If the budget allows none, Fallback is the decision.
type RunAgain struct {
	Delay       time.Duration
	CostsBudget bool
	Fallback    Decision
}

// RefuseNotRun answers the caller that the request did not run.
type RefuseNotRun struct{}

// AnswerUnknown answers the caller that the outcome is unknown.
type AnswerUnknown struct{}

// AnswerRan answers the caller that the request ran but its answer is lost.
type AnswerRan struct{}

func (RunAgain) decision()      {}
func (RefuseNotRun) decision()  {}
func (AnswerUnknown) decision() {}
func (AnswerRan) decision()     {}

// Policy limits the attempts of one request.
type Policy struct {
	MaxAttempts           int           // no attempt that costs budget starts after this many attempts, the first included
	MaxAttemptsDuringMove int           // the same limit for attempts while the ownership of a key moves
	FirstDelay            time.Duration // delay after the first round over all targets
	MaxDelay              time.Duration
	MinTimeLeft           time.Duration // no attempt starts with less time left until the deadline
}

// DefaultPolicy returns a policy whose attempts last through a takeover of several
// seconds.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:           3,
		MaxAttemptsDuringMove: 200,
		FirstDelay:            10 * time.Millisecond,
		MaxDelay:              160 * time.Millisecond,
		MinTimeLeft:           2 * time.Millisecond,
	}
}

// retryClass groups the kinds of errors by what another attempt could change.
type retryClass uint8

const (
	notRetryable retryClass = iota // another attempt would end in the same way
	ownerMoving                    // the owner of the key changes or is unreachable
	serverBusy                     // this backend server cannot accept the request now; another one may, or this one a moment later
	outcomeLost                    // the outcome did not arrive
)

// retryClassOf returns the class of an error kind.
func retryClassOf(k errkind.Kind) retryClass {
	switch k {
	case errkind.NotOwner, errkind.NoOwner, errkind.LeaseLapsed,
		errkind.PeerUnreachable, errkind.Draining, errkind.HopLimit:
		return ownerMoving
	case errkind.Overloaded, errkind.BackendUnavailable, errkind.BackendRefused, errkind.RateLimited, errkind.RegionNotAllowed:
		return serverBusy
	case errkind.OutcomeUnknown, errkind.PeerProtocol, errkind.AnswerCut, errkind.Internal:
		return outcomeLost
	default:
		return notRetryable
	}
}

// Decide returns what to do after the failure f.
func (p Policy) Decide(f Failure) Decision {
	withoutRetry := decisionWithoutRetry(f.CombinedTruth())
	switch {
	case !f.BodyReplayable:
		return withoutRetry
	case f.attemptTruth() == errkind.NotRun:
		return p.decideAfterNotRun(f, withoutRetry)
	default:
		return p.decideAfterLoss(f, withoutRetry)
	}
}

// attemptTruth returns the execution status after the failed attempt alone. It
// accepts a reported NotRun only if the attempt was never sent or was refused
// explicitly.
func (f Failure) attemptTruth() errkind.Truth {
	refused := f.Point == BeforeSend || f.Point == Refused
	switch {
	case f.Truth == errkind.NotRun && refused:
		return errkind.NotRun
	case f.Truth == errkind.Ran:
		return errkind.Ran
	default:
		return errkind.Unknown
	}
}

// CombinedTruth returns the execution status of the request after f and the
// previous attempts. It is NotRun only if no attempt may have run.
func (f Failure) CombinedTruth() errkind.Truth { return combineTruth(f.PriorTruth, f.attemptTruth()) }

// combineTruth returns the execution status of two attempts together.
func combineTruth(a, b errkind.Truth) errkind.Truth {
	switch {
	case a == errkind.Ran || b == errkind.Ran:
		return errkind.Ran
	case a == errkind.Unknown || b == errkind.Unknown:
		return errkind.Unknown
	default:
		return errkind.NotRun
	}
}

// decisionWithoutRetry returns the decision that answers the caller with execution
// status t.
func decisionWithoutRetry(t errkind.Truth) Decision {
	switch t {
	case errkind.NotRun:
		return RefuseNotRun{}
	case errkind.Ran:
		return AnswerRan{}
	default:
		return AnswerUnknown{}
	}
}

// decideAfterNotRun decides after an attempt that did not run. It allows another
// attempt while the owner of the key moves, while other backend servers of a pool
// are untried, after an explicit refusal by the backend server that owns the
// key, and of a repeatable request that was lost before it could run.
func (p Policy) decideAfterNotRun(f Failure, fallback Decision) Decision {
	switch retryClassOf(f.Kind) {
	case ownerMoving:
		return p.retryWithin(f, p.MaxAttemptsDuringMove, false, fallback)
	case serverBusy:
		if f.Pooled && f.UntriedTargets || !f.Pooled && f.Kind == errkind.BackendRefused {
			return p.retryWithin(f, p.MaxAttempts, true, fallback)
		}
	case outcomeLost:
		if f.Repeatable || f.Pooled && f.UntriedTargets {
			return p.retryWithin(f, p.MaxAttempts, true, fallback)
		}
	}
	return fallback
}

// decideAfterLoss decides after an attempt that may have run. It allows another
// attempt only if the request is repeatable and its outcome did not arrive.
func (p Policy) decideAfterLoss(f Failure, fallback Decision) Decision {
	if !f.Repeatable || retryClassOf(f.Kind) != outcomeLost {
		return fallback
	}
	return p.retryWithin(f, p.MaxAttempts, true, fallback)
}

// retryWithin returns a RunAgain with the given fallback. It returns the fallback
// itself if limit attempts have been made or too little time is left.
func (p Policy) retryWithin(f Failure, limit int, costsBudget bool, fallback Decision) Decision {
	delay := p.retryDelay(f)
	if f.Attempts >= limit || f.TimeLeft < delay+p.MinTimeLeft {
		return fallback
	}
	return RunAgain{Delay: delay, CostsBudget: costsBudget, Fallback: fallback}
}

// retryDelay returns the delay before the next attempt: zero while untried targets
// are left, otherwise FirstDelay, doubled for each completed round, up to MaxDelay.
func (p Policy) retryDelay(f Failure) time.Duration {
	if f.UntriedTargets {
		return 0
	}
	d := p.FirstDelay
	for i := 0; i < f.CompletedRounds && d < p.MaxDelay; i++ {
		d *= 2
	}
	return min(d, p.MaxDelay)
}
