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
	recorderRingSize = 256                    // waiting calls; full: the call fails as unavailable
	maxBatchCalls    = 64                     // calls joined in one append
	appendRetryPause = 50 * time.Millisecond  // between attempts of one batch
	appendTimeout    = 2 * time.Second        // of one attempt
	outcomeWait      = 150 * time.Millisecond // for an unknown append to show up in the fold
	answerGrace      = 200 * time.Millisecond // for the attempt in flight when a call ends
)

// VoidError means that a record was written and folded to nothing.
type VoidError struct{ Outcome ownership.Outcome }

// Error names the outcome.
func (e *VoidError) Error() string { return "control: record is void: " + e.Outcome.String() }

// Recorder appends this member's records, one batch at a time. A batch whose
// outcome is unknown is repeated with the same sequence numbers before the next
// one is appended, so that each record folds once and in the order of its
// number.
type Recorder struct {
	log      logservice.Log
	self     ident.Member
	follower *Follower
	logger   *zap.Logger
	calls    *duty.Ring[*call]
	stopped  chan struct{} // closed when Run has ended
	failed   atomic.Bool   // the last append failed
	seq      uint64        // owned by Run
}

// NewRecorder returns the recorder of a member.
func NewRecorder(log logservice.Log, self ident.Member, f *Follower, logger *zap.Logger) *Recorder {
	return &Recorder{
		log:      log,
		self:     self,
		follower: f,
		logger:   logger,
		calls:    duty.NewRing[*call](recorderRingSize, duty.RefuseNew),
		stopped:  make(chan struct{}),
	}
}

// Record appends the records as one batch and returns nil once all are folded
// here. Errors: ErrUnavailable (nothing was written), ErrOutcomeUnknown, or a
// *VoidError for the first record that folded to nothing. It may return up to
// answerGrace after ctx has ended.
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
		return r.await(ctx, c)
	case <-ctx.Done():
		return c.abandon(ctx.Err())
	case <-r.stopped:
		return c.abandon(context.Canceled)
	}
}

// await waits until the records of an appended call are folded here.
func (r *Recorder) await(ctx context.Context, c *call) error {
	var first error
	for _, ch := range c.outcomes {
		select {
		case o, ok := <-ch:
			if first == nil {
				first = outcomeError(o, ok)
			}
		case <-ctx.Done():
			r.forget(c)
			return fmt.Errorf("%w: %w", logservice.ErrOutcomeUnknown, ctx.Err())
		case <-r.stopped:
			r.forget(c)
			return logservice.ErrOutcomeUnknown
		}
	}
	return first
}

// outcomeError is nil for a record that took effect. The outcome is unknown when
// the follower passed over the record, and when it sees only a repetition.
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

// LogAvailable reports whether the log answered lately, reads as well as appends.
func (r *Recorder) LogAvailable() bool { return r.follower.LogReadable() && !r.failed.Load() }

// Run appends until ctx ends. It is run once.
func (r *Recorder) Run(ctx context.Context) error {
	defer close(r.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-r.calls.C():
			r.appendBatch(ctx, r.collect(c))
		}
	}
}

// collect joins the calls that wait with the first one and numbers their
// records.
func (r *Recorder) collect(first *call) []*call {
	batch := []*call{first}
	for len(batch) < maxBatchCalls {
		select {
		case c := <-r.calls.C():
			batch = append(batch, c)
		default:
			return r.prepare(batch)
		}
	}
	return r.prepare(batch)
}

func (r *Recorder) prepare(batch []*call) []*call {
	ready := batch[:0]
	for _, c := range batch {
		if err := r.encode(c); err != nil {
			r.forget(c)
			c.appended <- err
			continue
		}
		ready = append(ready, c)
	}
	return ready
}

func (r *Recorder) encode(c *call) error {
	for _, b := range c.bodies {
		r.seq++
		env := record.Envelope{Version: record.Version, Writer: r.self, Seq: r.seq, Body: b}
		data, err := record.Encode(env)
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		c.seqs = append(c.seqs, r.seq)
		c.data = append(c.data, data)
		c.outcomes = append(c.outcomes, r.follower.expect(r.seq))
	}
	return nil
}

// appendBatch repeats the append until it has taken effect or every call has
// given up.
func (r *Recorder) appendBatch(ctx context.Context, batch []*call) {
	for ctx.Err() == nil {
		batch = r.begin(batch)
		if len(batch) == 0 {
			return
		}
		err := r.attempt(ctx, batch)
		if err == nil || r.shownUp(ctx, batch, err) {
			for _, c := range batch {
				c.appended <- nil
			}
			return
		}
		r.logger.Warn("log_append_failed", zap.Error(err), zap.Int("calls", len(batch)))
		batch = r.dropEnded(batch)
		sleep(ctx, appendRetryPause)
	}
	for _, c := range batch {
		r.giveUp(c)
	}
}

func (r *Recorder) attempt(ctx context.Context, batch []*call) error {
	var data [][]byte
	for _, c := range batch {
		data = append(data, c.data...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.log.Append(ctx, logservice.ControlStream, data)
	r.failed.Store(err != nil)
	for _, c := range batch {
		c.settle(err)
	}
	return err
}

// shownUp waits a little for an append with unknown outcome to appear in the
// fold.
func (r *Recorder) shownUp(ctx context.Context, batch []*call, err error) bool {
	if !errors.Is(err, logservice.ErrOutcomeUnknown) {
		return false
	}
	t := time.NewTimer(outcomeWait)
	defer t.Stop()
	first := batch[0]
	select {
	case o, ok := <-first.outcomes[0]:
		first.outcomes[0] = again(o, ok)
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// again returns a channel that gives what was received once more.
func again(o ownership.Outcome, ok bool) <-chan ownership.Outcome {
	ch := make(chan ownership.Outcome, 1)
	if ok {
		ch <- o
	} else {
		close(ch)
	}
	return ch
}

// begin marks the calls that take part in the next attempt and answers those
// that have ended.
func (r *Recorder) begin(batch []*call) []*call {
	batch = r.dropEnded(batch)
	ready := batch[:0]
	for _, c := range batch {
		if !c.begin() {
			r.giveUp(c)
			continue
		}
		ready = append(ready, c)
	}
	return ready
}

// dropEnded answers the calls whose context has ended.
func (r *Recorder) dropEnded(batch []*call) []*call {
	alive := batch[:0]
	for _, c := range batch {
		if c.ctx.Err() != nil {
			r.giveUp(c)
			continue
		}
		alive = append(alive, c)
	}
	return alive
}

func (r *Recorder) giveUp(c *call) {
	r.forget(c)
	c.appended <- c.failure()
}

func (r *Recorder) forget(c *call) {
	for _, seq := range c.seqs {
		r.follower.forget(seq)
	}
}
