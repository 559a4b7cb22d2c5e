// Package drain decides when a daemon that was told to stop refuses, limits and ends
// requests. The input is the instant of the signal and the grace time of the platform; the
// output is a Schedule. The package performs no I/O: callers pass instants in.
package drain

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Times of a graceful stop.
const (
	unreadyTime     = 2300 * time.Millisecond // two readiness probes a second apart, and their transmission
	shutdownReserve = 500 * time.Millisecond  // part of the grace time reserved for closing ports and stopping duties
	answerReserve   = 200 * time.Millisecond  // part before that in which requests that did not end get their failure
	refusalReserve  = 100 * time.Millisecond  // part before that in which other daemons refuse what has not started
)

// Schedule holds the instants of a graceful stop, in their order.
type Schedule struct {
	RefuseAt ident.Instant // from then on every new request is refused
	Deadline ident.Instant // latest deadline of the requests that arrive after the signal
	AbortAt  ident.Instant // when the requests that are still in progress get a failure
	EndAt    ident.Instant // when connections are closed, whatever is still written to them
}

// NewSchedule returns the schedule of a stop that was signaled at an instant, after which
// the platform kills the process when the grace time is over.
func NewSchedule(signaled ident.Instant, grace time.Duration) Schedule {
	end := signaled.Add(max(grace-shutdownReserve, 0))
	abort := max(end.Add(-answerReserve), signaled)
	return Schedule{
		RefuseAt: min(signaled.Add(unreadyTime), abort),
		Deadline: max(abort.Add(-refusalReserve), signaled),
		AbortAt:  abort,
		EndAt:    end,
	}
}
