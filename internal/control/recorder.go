package control

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	maxQueuedCalls   = 256                    // queued calls; further ones fail as unavailable
	maxBatchCalls    = 64                     // calls in one append
	appendRetryPause = 50 * time.Millisecond  // between attempts to append a batch
	appendTimeout    = 2 * time.Second        // limit for one attempt
	foldWait         = 150 * time.Millisecond // for an append with unknown outcome to appear in the fold
	attemptGrace     = 200 * time.Millisecond // for the running attempt after its call ended
)

// VoidError means that a record was written and folded without effect.
type VoidError struct{ Outcome ownership.Outcome }

// Error returns a text with the outcome.
func (e *VoidError) Error() string { return "control: record is void: " + e.Outcome.String() }

// Recorder appends the records of this member, one batch at a time. If the
// outcome of a batch is unknown, the recorder repeats the batch with the same
// sequence numbers before it appends the next one. Each record therefore takes
// effect at most once and in the order of its sequence number.
type Recorder struct {
	log              logservice.Log
	self             ident.Member
	follower         *Follower
	logger           *zap.Logger
	calls            *duty.Ring[*call]
	stopped          chan struct{} // closed when Run returns
	lastAppendFailed atomic.Bool
	seq              uint64 // last assigned sequence number; only Run uses it
}

// NewRecorder returns the recorder of the member self.
func NewRecorder(log logservice.Log, self ident.Member, f *Follower, logger *zap.Logger) *Recorder {
	return &Recorder{
		log:      log,
		self:     self,
		follower: f,
		logger:   logger,
		calls:    duty.NewRing[*call](maxQueuedCalls, duty.RefuseNew),
		stopped:  make(chan struct{}),
	}
}

// Record appends the records as one batch and returns nil once all of them are
// folded here. It returns ErrUnavailable if nothing was written,
// ErrOutcomeUnknown, or a *VoidError for the first record without effect. It
// may return up to attemptGrace after ctx has ended.
func (r *Recorder) Record(ctx context.Context, bodies ...record.Body) error {
	if len(bodies) == 0 {
		return nil
	}
	c := newCall(ctx, bodies)
	if !r.calls.Put(ctx, c) {
		return fmt.Errorf("recorder is full: %w", logservice.ErrUnavailable)
	}
	select {
	case err := <-c.appended:
		if err != nil {
			return err
		}
		return r.awaitOutcomes(ctx, c)
	case <-ctx.Done():
		return c.abandon(ctx.Err())
	case <-r.stopped:
		return c.abandon(context.Canceled)
	}
}

// awaitOutcomes waits until the records of an appended call are folded here,
// and returns the error of the first record that failed.
func (r *Recorder) awaitOutcomes(ctx context.Context, c *call) error {
	var first error
	for _, ch := range c.outcomes {
		select {
		case o, ok := <-ch:
			if first == nil {
				first = outcomeError(o, ok)
			}
		case <-ctx.Done():
			r.forgetOutcomes(c)
			return fmt.Errorf("%w: %w", logservice.ErrOutcomeUnknown, ctx.Err())
		case <-r.stopped:
			r.forgetOutcomes(c)
			return logservice.ErrOutcomeUnknown
		}
	}
	return first
}

// outcomeError returns nil for a record that took effect. The outcome is
// unknown if the follower skipped the record, or if it received only a
// repetition.
func outcomeError(o ownership.Outcome, known bool) error {
	switch {
	case !known || o == ownership.Repeated:
		return logservice.ErrOutcomeUnknown
	case o == ownership.Folded:
		return nil
	default:
		return &VoidError{Outcome: o}
	}
}

// LogAvailable reports whether the last append succeeded and the follower can
// read the log.
func (r *Recorder) LogAvailable() bool { return r.follower.LogReadable() && !r.lastAppendFailed.Load() }

// Run appends queued calls until ctx ends. It must be called at most once.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.calls.C():
			r.appendBatch(ctx, r.collectBatch(c))
		}
	}
}

// collectBatch joins queued calls with the first one and encodes their records.
func (r *Recorder) collectBatch(first *call) []*call {
	batch := []*call{first}
	for len(batch) < maxBatchCalls {
		select {
		case c := <-r.calls.C():
			batch = append(batch, c)
		default:
			return r.encodeBatch(batch)
		}
	}
	return r.encodeBatch(batch)
}

// encodeBatch encodes the calls and returns those that succeeded. The others
// receive their error.
func (r *Recorder) encodeBatch(batch []*call) []*call {
	ready := batch[:0]
	for _, c := range batch {
		if err := r.encodeCall(c); err != nil {
			r.forgetOutcomes(c)
			c.appended <- err
			continue
		}
		ready = append(ready, c)
	}
	return ready
}

// encodeCall assigns sequence numbers to the records of a call, encodes them,
// and registers for their outcomes.
func (r *Recorder) encodeCall(c *call) error {
	for _, b := range c.bodies {
		r.seq++
		env := record.Envelope{Version: record.Version, Writer: r.self, Seq: r.seq, Body: b}
		data, err := record.Encode(env)
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		c.seqs = append(c.seqs, r.seq)
		c.data = append(c.data, data)
		c.outcomes = append(c.outcomes, r.follower.expectOutcome(r.seq))
	}
	return nil
}

// appendBatch repeats the append until it has taken effect or every call has
// ended.
func (r *Recorder) appendBatch(ctx context.Context, batch []*call) {
	for ctx.Err() == nil {
		batch = r.beginAttempt(batch)
		if len(batch) == 0 {
			return
		}
		err := r.attemptAppend(ctx, batch)
		if err == nil || r.appearsInFold(ctx, batch, err) {
			for _, c := range batch {
				c.appended <- nil
			}
			return
		}
		r.logger.Warn("log_append_failed", zap.Error(err), zap.Int("calls", len(batch)))
		batch = r.dropEndedCalls(batch)
		sleep(ctx, appendRetryPause)
	}
	for _, c := range batch {
		r.failCall(c)
	}
}

// attemptAppend makes one attempt to append the batch and stores its result in
// the calls.
func (r *Recorder) attemptAppend(ctx context.Context, batch []*call) error {
	var data [][]byte
	for _, c := range batch {
		data = append(data, c.data...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.log.Append(ctx, logservice.ControlStream, data)
	r.lastAppendFailed.Store(err != nil)
	for _, c := range batch {
		c.finishAttempt(err)
	}
	return err
}

// appearsInFold waits up to foldWait for an append with unknown outcome to
// appear in the fold, and reports whether it did.
func (r *Recorder) appearsInFold(ctx context.Context, batch []*call, err error) bool {
	if !errors.Is(err, logservice.ErrOutcomeUnknown) {
		return false
	}
	t := time.NewTimer(foldWait)
	defer t.Stop()
	first := batch[0]
	select {
	case o, ok := <-first.outcomes[0]:
		first.outcomes[0] = replayOutcome(o, ok)
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// replayOutcome returns a channel that delivers a received outcome, or a
// received close, once more.
func replayOutcome(o ownership.Outcome, ok bool) <-chan ownership.Outcome {
	ch := make(chan ownership.Outcome, 1)
	if ok {
		ch <- o
	} else {
		close(ch)
	}
	return ch
}

// beginAttempt returns the calls that take part in the next attempt. Calls that
// have ended receive their error.
func (r *Recorder) beginAttempt(batch []*call) []*call {
	batch = r.dropEndedCalls(batch)
	ready := batch[:0]
	for _, c := range batch {
		if !c.beginAttempt() {
			r.failCall(c)
			continue
		}
		ready = append(ready, c)
	}
	return ready
}

// dropEndedCalls returns the calls whose context is still valid. The others
// receive their error.
func (r *Recorder) dropEndedCalls(batch []*call) []*call {
	alive := batch[:0]
	for _, c := range batch {
		if c.ctx.Err() != nil {
			r.failCall(c)
			continue
		}
		alive = append(alive, c)
	}
	return alive
}

// failCall ends a call that is not attempted again with its final error.
func (r *Recorder) failCall(c *call) {
	r.forgetOutcomes(c)
	c.appended <- c.finalError()
}

// forgetOutcomes stops waiting for the outcomes of a call's records.
func (r *Recorder) forgetOutcomes(c *call) {
	for _, seq := range c.seqs {
		r.follower.forgetOutcome(seq)
	}
}
