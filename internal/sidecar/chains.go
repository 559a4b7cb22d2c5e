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
	e := errkind.New(errkind.CallsWithoutRoom, "the calls that route %q makes fail too often", r.Route)
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
	id := c.core.BeginRun(r.Route, r.Deadline)
	return func(a *hop.Answer) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.core.EndRun(id, isWhole(a), c.clock.Now())
	}
}

// isWhole reports whether the server answered without an error of its own.
func isWhole(a *hop.Answer) bool { return a.Failure == nil && a.Status < 500 }

// beginCall records an attempt of a request that came in at this host.
func (c *chains) beginCall(r *hop.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[r] = c.core.BeginCall(r.Route, r.Deadline)
}

// endCall records the end of an attempt.
func (c *chains) endCall(r *hop.Request, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.calls[r]
	if ok {
		delete(c.calls, r)
		c.core.EndCall(id, answered)
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

// RecordAnswer implements edge.Chooser. A canceled request says nothing of the room for others.
func (c chainChooser) RecordAnswer(t edge.Target, r *hop.Request, a *hop.Answer, took time.Duration) {
	c.chains.endCall(r, isWhole(a) || a.Failure != nil && a.Failure.Kind == errkind.Canceled)
	c.Chooser.RecordAnswer(t, r, a, took)
}
