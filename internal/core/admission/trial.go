package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A class whose estimates leave no time to meet a deadline would never run again, so that
// nothing could correct the estimates after a slow spell of the server. If none has started
// for a while, one of its requests therefore starts on a free slot as a trial.

const (
	// trialInterval is the time without a start of a class after which a trial is due.
	trialInterval = time.Second
	// trialForget is the factor by which a trial that ended lowers the estimates at most.
	trialForget = 0.5
)

// mayTry reports whether a request that its class's estimates refuse starts as a trial. It
// must be able to start at once.
func (c *Core) mayTry(w *waitingRequest, now ident.Instant) bool {
	e := c.estimates.byClass[w.Class]
	return e != nil && now < w.Deadline && now.Sub(e.startedAt) >= trialInterval
}

// startTrial starts a request as a trial of its class.
func (c *Core) startTrial(w *waitingRequest, now ident.Instant) Command {
	cmd := c.start(w, now)
	r := c.running[w.ID]
	r.trial = true
	c.running[w.ID] = r
	return cmd
}

// forget lowers the estimates toward the service time of a trial that ended, in nanoseconds.
func (e *estimate) forget(x float64) {
	e.mean = min(e.mean, max(x, e.mean*trialForget))
	e.high = min(e.high, max(x, e.high*trialForget))
}
