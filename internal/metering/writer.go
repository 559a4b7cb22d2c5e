package metering

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// maxPendingStatements is the maximum number of statements that wait to be
// appended. When it is reached, the meter continues to count and the next
// statement covers a longer interval, so that no use is lost.
const maxPendingStatements = 64

// Config contains the intervals and timeouts of a Writer.
type Config struct {
	// MinInterval is the minimum interval of a statement.
	MinInterval time.Duration
	// AppendsPerSecond is the maximum rate of usage appends of all daemons together.
	// The interval grows with the number of daemons to stay within it.
	AppendsPerSecond float64
	// AppendTimeout is the timeout of one append.
	AppendTimeout time.Duration
	// FinishTimeout limits the time for all attempts to append the last statement at
	// shutdown.
	FinishTimeout time.Duration
}

// Validate returns an error if a value is not valid.
func (c Config) Validate() error {
	if c.MinInterval <= 0 || c.AppendTimeout <= 0 || c.FinishTimeout <= 0 {
		return errors.New("metering: minimum interval, append timeout and finish timeout must be greater than zero")
	}
	if !(c.AppendsPerSecond > 0) {
		return errors.New("metering: appends per second must be greater than zero")
	}
	return nil
}

// Interval returns the interval of a statement for the given number of daemons.
func (c Config) Interval(daemons int) time.Duration {
	share := time.Duration(float64(daemons) / c.AppendsPerSecond * float64(time.Second))
	return max(c.MinInterval, share)
}

// Deps contains the dependencies of a Writer.
type Deps struct {
	Meter       *Meter
	Chain       *usage.Chain
	Log         logservice.Log
	DaemonCount func() int       // current number of daemons
	Now         func() time.Time // wall clock
	Logger      *zap.Logger
}

// Writer is the duty that turns the counts of a Meter into signed statements and
// appends them to the usage stream.
type Writer struct {
	config        Config
	deps          Deps
	intervalStart time.Time
	pending       [][]byte // encoded statements, oldest first
}

// NewWriter returns a writer. Its first interval begins now; Run starts it.
func NewWriter(c Config, d Deps) *Writer {
	return &Writer{config: c, deps: d, intervalStart: d.Now()}
}

// Run writes a statement in each interval until ctx is done, and then a last one.
// It returns an error only if a statement cannot be encoded.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(w.config.Interval(w.deps.DaemonCount()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.writeLast(ctx)
		case <-timer.C:
		}
		if err := w.writeStatement(ctx); err != nil {
			return err
		}
		timer.Reset(w.config.Interval(w.deps.DaemonCount()))
	}
}

// writeLast writes the last statement after ctx is done. It retries until the
// pending statements are appended or FinishTimeout has passed. A failure to append
// them is logged, not returned.
func (w *Writer) writeLast(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.config.FinishTimeout)
	defer cancel()
	if err := w.close(); err != nil {
		return err
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, w.appendPending(ctx)
	}, backoff.WithMaxElapsedTime(w.config.FinishTimeout))
	if err != nil {
		w.deps.Logger.Error("usage_not_written", zap.Int("statements", len(w.pending)), zap.Error(err))
	}
	return nil
}

// writeStatement closes the interval and appends the pending statements. A failed
// append is logged, not returned: the next call tries again.
func (w *Writer) writeStatement(ctx context.Context) error {
	if err := w.close(); err != nil {
		return err
	}
	if err := w.appendPending(ctx); err != nil {
		w.deps.Logger.Warn("usage_append_failed", telemetry.ErrorKind(err), zap.Int("pending", len(w.pending)), zap.Error(err))
	}
	return nil
}

// close ends the interval and adds its statement to the pending ones. It
// leaves the interval open if there is nothing to report or if too many statements
// are pending.
func (w *Writer) close() error {
	if len(w.pending) >= maxPendingStatements {
		return nil
	}
	lines := w.deps.Meter.TakeLines()
	if len(lines) == 0 {
		return nil
	}
	now := w.deps.Now()
	statement, err := w.deps.Chain.SignNext(w.intervalStart.UnixMilli(), now.UnixMilli(), lines)
	if err != nil {
		return fmt.Errorf("metering: sign statement: %w", err)
	}
	data, err := codec.Marshal(statement)
	if err != nil {
		return fmt.Errorf("metering: encode signed statement: %w", err)
	}
	w.intervalStart = now
	w.pending = append(w.pending, data)
	return nil
}

// appendPending appends the pending statements. After an unknown outcome they stay
// pending and are appended again; their sequence ensures that each is counted once.
func (w *Writer) appendPending(ctx context.Context) error {
	if len(w.pending) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.AppendTimeout)
	defer cancel()
	if _, err := w.deps.Log.Append(ctx, logservice.UsageStream, w.pending); err != nil {
		return fmt.Errorf("metering: append usage statements: %w", err)
	}
	w.pending = nil
	return nil
}
