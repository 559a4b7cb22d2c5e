// Package retry decides what happens after a failed attempt: whether the
// request runs again, is refused as not run, or is answered with an unknown
// outcome. Every hop uses the same table. The package is pure.
package retry

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// FailurePoint says where an attempt was lost.
type FailurePoint uint8

// The places where an attempt is lost.
const (
	BeforeSend FailurePoint = iota // no byte left this daemon
	Refused                        // the peer or the backend server refused expressly
	InFlight                       // no answer came
	InAnswer                       // the answer was cut
)

// FailurePointOf returns where an attempt that failed with kind k was lost.
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

// Failure is a failed attempt and what is left for another.
type Failure struct {
	Kind            errkind.Kind
	Truth           errkind.Truth
	Point           FailurePoint
	PriorTruth      errkind.Truth // what the attempts before leave; empty without any
	Repeatable      bool          // the request may run more than once
	BodyReplayable  bool          // the body can be sent again from its start
	UntriedTargets  bool          // a target is left that was not tried in this round
	Pooled          bool          // any backend server of the pool may serve it
	Attempts        int           // attempts so far, at least 1
	CompletedRounds int           // completed rounds over all targets
	TimeLeft        time.Duration // time until the deadline
}

// Decision is what to do after a failure.
type Decision interface{ decision() }

// RunAgain starts another attempt after a delay. Costs says that the attempt
// may reach a busy backend server and is paid from the retry budget; without
// budget the decision is Otherwise.
type RunAgain struct {
	Delay       time.Duration
	CostsBudget bool
	Fallback    Decision
}

// RefuseNotRun tells the caller that the request did not run.
type RefuseNotRun struct{}

// AnswerUnknown tells the caller that the outcome is unknown.
type AnswerUnknown struct{}

// AnswerRan tells the caller that the request ran but its answer is lost.
type AnswerRan struct{}

func (RunAgain) decision()      {}
func (RefuseNotRun) decision()  {}
func (AnswerUnknown) decision() {}
func (AnswerRan) decision()     {}

// Policy bounds the attempts of one request.
type Policy struct {
	MaxAttempts           int           // attempts, the first included, that cost budget or follow a lost answer
	MaxAttemptsDuringMove int           // attempts while the ownership of a key moves
	FirstDelay            time.Duration // delay after the first round over all targets
	MaxDelay              time.Duration
	MinTimeLeft           time.Duration // no attempt starts with less time left
}

// DefaultPolicy covers a takeover of several seconds.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:           3,
		MaxAttemptsDuringMove: 200,
		FirstDelay:            10 * time.Millisecond,
		MaxDelay:              160 * time.Millisecond,
		MinTimeLeft:           2 * time.Millisecond,
	}
}

// class groups the kinds by what another attempt could change.
type class uint8

const (
	final  class = iota // another attempt would end the same
	moving              // the owner of the key changes or cannot be reached
	busy                // this backend server cannot take it, another may, or it itself a moment later
	lost                // the outcome did not arrive
)

func classOf(k errkind.Kind) class {
	switch k {
	case errkind.NotOwner, errkind.NoOwner, errkind.LeaseLapsed,
		errkind.PeerUnreachable, errkind.Draining, errkind.HopLimit:
		return moving
	case errkind.Overloaded, errkind.BackendUnavailable, errkind.BackendRefused, errkind.RateLimited:
		return busy
	case errkind.OutcomeUnknown, errkind.PeerProtocol, errkind.AnswerCut, errkind.Internal:
		return lost
	default:
		return final
	}
}

// Decide returns what to do after f.
func (p Policy) Decide(f Failure) Decision {
	giveUp := answerWith(f.CombinedTruth())
	switch {
	case !f.BodyReplayable:
		return giveUp
	case f.believed() == errkind.NotRun:
		return p.afterNotRun(f, giveUp)
	default:
		return p.afterLoss(f, giveUp)
	}
}

// believed returns what the attempt itself leaves. Not run is believed only of
// an attempt that never left or was refused expressly.
func (f Failure) believed() errkind.Truth {
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

// CombinedTruth returns what the caller may be told after f and the attempts before it:
// a request did not run only if no attempt may have run.
func (f Failure) CombinedTruth() errkind.Truth { return worse(f.PriorTruth, f.believed()) }

// worse returns the truth of two attempts together.
func worse(a, b errkind.Truth) errkind.Truth {
	switch {
	case a == errkind.Ran || b == errkind.Ran:
		return errkind.Ran
	case a == errkind.Unknown || b == errkind.Unknown:
		return errkind.Unknown
	default:
		return errkind.NotRun
	}
}

// answerWith is the answer without another attempt.
func answerWith(t errkind.Truth) Decision {
	switch t {
	case errkind.NotRun:
		return RefuseNotRun{}
	case errkind.Ran:
		return AnswerRan{}
	default:
		return AnswerUnknown{}
	}
}

func (p Policy) afterNotRun(f Failure, otherwise Decision) Decision {
	switch classOf(f.Kind) {
	case moving:
		return p.again(f, p.MaxAttemptsDuringMove, false, otherwise)
	case busy:
		if f.Pooled && f.UntriedTargets || !f.Pooled && f.Kind == errkind.BackendRefused {
			return p.again(f, p.MaxAttempts, true, otherwise)
		}
	}
	return otherwise
}

func (p Policy) afterLoss(f Failure, otherwise Decision) Decision {
	if !f.Repeatable || classOf(f.Kind) != lost {
		return otherwise
	}
	return p.again(f, p.MaxAttempts, true, otherwise)
}

func (p Policy) again(f Failure, limit int, costs bool, otherwise Decision) Decision {
	delay := p.delay(f)
	if f.Attempts >= limit || f.TimeLeft < delay+p.MinTimeLeft {
		return otherwise
	}
	return RunAgain{Delay: delay, CostsBudget: costs, Fallback: otherwise}
}

// delay is zero while untried targets are left, then doubles with each round.
func (p Policy) delay(f Failure) time.Duration {
	if f.UntriedTargets {
		return 0
	}
	d := p.FirstDelay
	for i := 0; i < f.CompletedRounds && d < p.MaxDelay; i++ {
		d *= 2
	}
	return min(d, p.MaxDelay)
}
