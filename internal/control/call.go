package control

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// callState describes which effect the append attempts for the records of a
// call may have had.
type callState = int32

const (
	callNotWritten callState = iota // no attempt is running, and none has written the records
	callInFlight                    // an attempt is running, and no earlier one has written the records
	callUnknown                     // an attempt has written, or may have written, the records
	callWithdrawn                   // the caller left before an attempt wrote the records
)

// call is one call of Record that waits in the recorder.
type call struct {
	ctx      context.Context
	bodies   []record.Body
	appended chan error // result of the append; capacity 1, so that the recorder never blocks
	state    atomic.Int32

	// The recorder writes the fields below before it sends on appended.
	seqs     []uint64
	data     [][]byte
	outcomes []<-chan ownership.Outcome
}

func newCall(ctx context.Context, bodies []record.Body) *call {
	return &call{ctx: ctx, bodies: bodies, appended: make(chan error, 1)}
}

// beginAttempt marks an attempt as running. It returns false if the call was
// withdrawn and must not take part.
func (c *call) beginAttempt() bool {
	return c.state.CompareAndSwap(callNotWritten, callInFlight) || c.state.Load() == callUnknown
}

// finishAttempt updates the state with the result of an attempt.
func (c *call) finishAttempt(err error) {
	if err == nil || errors.Is(err, logservice.ErrOutcomeUnknown) {
		c.state.Store(callUnknown)
		return
	}
	c.state.CompareAndSwap(callInFlight, callNotWritten)
}

// finalError returns the error of a call that the recorder does not attempt
// again.
func (c *call) finalError() error {
	if c.state.Load() == callUnknown {
		return logservice.ErrOutcomeUnknown
	}
	return logservice.ErrUnavailable
}

// abandon returns the error of a call that ends before its records were
// appended. If an attempt is running, abandon waits up to attemptGrace for its
// result.
func (c *call) abandon(cause error) error {
	if c.state.CompareAndSwap(callNotWritten, callWithdrawn) {
		return fmt.Errorf("%w: %w", logservice.ErrUnavailable, cause)
	}
	t := time.NewTimer(attemptGrace)
	defer t.Stop()
	select {
	case err := <-c.appended:
		if err != nil {
			return fmt.Errorf("%w: %w", err, cause)
		}
	case <-t.C:
	}
	return fmt.Errorf("%w: %w", logservice.ErrOutcomeUnknown, cause)
}
