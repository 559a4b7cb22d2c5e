package sidecar

import (
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// chains connects the runs of the server beside the daemon with the requests that are sent from
// its host. A nil *chains admits everything and records nothing.
type chains struct {
	clock ident.Clock

	mu    sync.Mutex // guards the fields below
	core  *admission.Chains
	calls map[*hop.Request]admission.CallID // attempts under way
}

func newChains(clock ident.Clock) *chains {
	return &chains{clock: clock, core: admission.NewChains(), calls: make(map[*hop.Request]admission.CallID)}
}

// admit returns nil if a new request may begin, as far as its calls are concerned.
func (c *chains) admit(r *hop.Request) *errkind.Error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	ok, retryAfter := c.core.Admit(r.Route, c.clock.Now())
	c.mu.Unlock()
	if ok {
		return nil
	}
	e := errkind.New(errkind.CallsWithoutRoom, "the calls that route %q makes find no room", r.Route)
	e.RetryAfter = retryAfter
	return e
}

// beginRun records that the server begins a request. end records its answer.
func (c *chains) beginRun(r *hop.Request) (end func(*hop.Answer)) {
	if c == nil {
		return func(*hop.Answer) {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.core.BeginRun(r.Route, r.Deadline, c.clock.Now())
	return func(a *hop.Answer) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.core.EndRun(id, runEnd(a), c.clock.Now())
	}
}

// runEnd returns how a run ended.
func runEnd(a *hop.Answer) admission.RunEnd {
	switch {
	case a.Failure == nil && a.Status < 500:
		return admission.RunWhole
	case a.Failure == nil || a.Failure.Kind == errkind.DeadlineAfterStart:
		return admission.RunFailed
	}
	return admission.RunVoid
}

// lateShare is the share of its time after which an attempt counts as one that found no time;
// the way back and the daemons' work take the rest.
const lateShare = 0.9

// foundNoRoom reports whether an attempt that took a time and left another failed for want of
// room, which fewer requests mend: its daemon, or the server that it reached, had none in time.
// An answer without slots is none of a daemon beside a server, which may be out of reach.
func foundNoRoom(a *hop.Answer, took, left time.Duration) bool {
	if a.Failure == nil {
		return false
	}
	switch a.Failure.Kind {
	case errkind.Overloaded, errkind.DeadlineBeforeStart, errkind.CallsWithoutRoom:
		return true
	case errkind.DeadlineAfterStart, errkind.OutcomeUnknown:
		return a.Load.Slots > 0 && float64(took) >= lateShare*float64(took+left)
	}
	return false
}

// beginCall records an attempt of a request that came in at this host.
func (c *chains) beginCall(r *hop.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[r] = c.core.BeginCall(r.Route, r.Deadline)
}

// endCall records the end of an attempt.
func (c *chains) endCall(r *hop.Request, noRoom bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.calls[r]
	if ok {
		delete(c.calls, r)
		c.core.EndCall(id, noRoom, c.clock.Now())
	}
}

// chainChooser is a chooser that lets chains know of the requests that begin at this host.
type chainChooser struct {
	edge.Chooser
	chains *chains
}

// ChooseTarget implements edge.Chooser.
func (c chainChooser) ChooseTarget(r *hop.Request, tried []ident.Host) (edge.Target, bool, *errkind.Error) {
	t, more, e := c.Chooser.ChooseTarget(r, tried)
	if e != nil {
		c.chains.beginCall(r)
		c.chains.endCall(r, false)
	}
	return t, more, e
}

// RecordSent implements edge.Chooser.
func (c chainChooser) RecordSent(t edge.Target, r *hop.Request) {
	c.chains.beginCall(r)
	c.Chooser.RecordSent(t, r)
}

// RecordAnswer implements edge.Chooser.
func (c chainChooser) RecordAnswer(t edge.Target, r *hop.Request, a *hop.Answer, took time.Duration) {
	c.chains.endCall(r, foundNoRoom(a, took, r.TimeLeft(c.chains.clock.Now())))
	c.Chooser.RecordAnswer(t, r, a, took)
}
