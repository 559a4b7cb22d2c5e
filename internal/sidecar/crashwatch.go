package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/origin"
)

const (
	// probeTimeout limits a connection attempt to the server, which is on the same host.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time in which the result of one attempt serves all lost runs.
	probeInterval = 100 * time.Millisecond
)

// crashWatch notices that the backend server has ended while it worked on requests, and
// which they were. A lost connection alone does not show that: the server, or a fault of
// the network on the host, may have ended just this one.
type crashWatch struct {
	server  *server
	accepts func(context.Context, origin.Server) (accepts, ok bool) // opens a connection to the server
	clock   ident.Clock
	metrics *metrics
	log     *zap.Logger
	onCrash func([]quarantine.Suspect) // called when the server has ended

	probing  sync.Mutex    // held while accepts is called, so that one of several lost runs does so
	probedAt ident.Instant // when the last call ended; guarded by probing

	mu      sync.Mutex // guards the fields below
	runs    *quarantine.Runs
	reached origin.Server   // the last server that a request was written to
	ended   roster.Instance // the last instance that is known to have ended
}

// beginRun records that a request is about to be sent to the server.
func (w *crashWatch) beginRun(run quarantine.Run) quarantine.RunID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs.Begin(run)
}

// endRun records the answer of a run and returns its outcome. If the connection was lost, it
// first finds out whether the server has ended.
func (w *crashWatch) endRun(run quarantine.RunID, to origin.Server, a *hop.Answer) quarantine.Outcome {
	outcome := runOutcomeOf(a)
	if a.ReachedBackend {
		w.mu.Lock()
		w.reached = to
		w.mu.Unlock()
	}
	if a.ConnectionLost {
		w.probe(run, to)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs.End(run, outcome, w.clock.Now())
	return outcome
}

// runOutcomeOf returns what an answer shows of its run. A server may answer with an error of
// its own without having come to what would end it.
func runOutcomeOf(a *hop.Answer) quarantine.Outcome {
	switch {
	case a.Failure == nil && a.Status < fasthttp.StatusInternalServerError:
		return quarantine.Answered
	case a.Failure == nil || a.Failure.Answer().Truth == errkind.NotRun:
		return quarantine.Inconclusive
	}
	return quarantine.Lost
}

// probe finds out whether the server has ended, unless that is known for the run already.
func (w *crashWatch) probe(run quarantine.RunID, to origin.Server) {
	w.probing.Lock()
	defer w.probing.Unlock()
	w.mu.Lock()
	open := w.runs.Open(run)
	w.mu.Unlock()
	if now := w.clock.Now(); !open || w.probedAt > 0 && now.Sub(w.probedAt) < probeInterval {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	defer func() { w.probedAt = w.clock.Now() }()
	if accepts, ok := w.accepts(ctx, to); ok && !accepts {
		w.handleServerEnd(to)
	}
}

// handleServerEnd records that a server, whose connections are refused, has ended. The end
// of a server that leaves is its own. An address that was never reached may be one on which no
// server ever listened: it suspects no requests.
func (w *crashWatch) handleServerEnd(by origin.Server) {
	if !w.server.isInUse(by) {
		return
	}
	instance, leaving, lost := w.server.current()
	w.mu.Lock()
	if w.reached != by {
		w.mu.Unlock()
		w.server.handleConnectionRefused(by)
		return
	}
	suspects := w.runs.TakeSuspects(w.clock.Now())
	known := lost && instance == w.ended // these runs began after its end
	w.ended = instance
	w.mu.Unlock()
	w.server.handleConnectionRefused(by)
	if len(suspects) == 0 || known || leaving {
		return
	}
	w.metrics.countCrash()
	requests := make([]string, len(suspects))
	for i, s := range suspects {
		requests[i] = s.RequestID + "/" + s.Fingerprint.String()
	}
	w.log.Warn("server_crashed", zap.String("server", instance.ID), zap.Strings("requests", requests))
	w.onCrash(suspects)
}
