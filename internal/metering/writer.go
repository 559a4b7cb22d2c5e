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

// maxPending bounds the statements that wait for the log service. When it is
// reached, use goes on being counted and the next statement covers a longer
// interval, so that nothing is lost.
const maxPending = 64

// Config sets the times of a Writer.
type Config struct {
	// MinInterval is the shortest interval of a statement.
	MinInterval time.Duration
	// AppendsPerSecond is the budget that all daemons together have for
	// appending usage. The interval grows with their number to keep to it.
	AppendsPerSecond float64
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// FinishTimeout bounds the attempts to append the last statement at shutdown.
	FinishTimeout time.Duration
}

// Validate reports the first value that is not usable.
func (c Config) Validate() error {
	if c.MinInterval <= 0 || c.AppendTimeout <= 0 || c.FinishTimeout <= 0 {
		return errors.New("metering: times must be longer than zero")
	}
	if !(c.AppendsPerSecond > 0) {
		return errors.New("metering: appends per second must be greater than zero")
	}
	return nil
}

// Interval returns the interval of a statement among so many daemons.
func (c Config) Interval(daemons int) time.Duration {
	share := time.Duration(float64(daemons) / c.AppendsPerSecond * float64(time.Second))
	return max(c.MinInterval, share)
}

// Deps are what a Writer works with.
type Deps struct {
	Meter       *Meter
	Chain       *usage.Chain
	Log         logservice.Log
	DaemonCount func() int       // number of daemons at the moment
	Now         func() time.Time // wall clock
	Logger      *zap.Logger
}

// Writer is the duty that turns counted use into statements and appends them.
type Writer struct {
	config  Config
	deps    Deps
	from    time.Time
	pending [][]byte // encoded statements, oldest first
}

// NewWriter returns a writer; Run starts it.
func NewWriter(c Config, d Deps) *Writer {
	return &Writer{config: c, deps: d, from: d.Now()}
}

// Run writes a statement each interval until ctx ends, and then a last one. It
// fails only if a statement cannot be encoded.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(w.config.Interval(w.deps.DaemonCount()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case <-timer.C:
		}
		if err := w.write(ctx); err != nil {
			return err
		}
		timer.Reset(w.config.Interval(w.deps.DaemonCount()))
	}
}

// finish writes the last statement after ctx has ended, trying until it is
// appended or FinishTimeout is over.
func (w *Writer) finish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.config.FinishTimeout)
	defer cancel()
	if err := w.close(); err != nil {
		return err
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, w.flush(ctx)
	}, backoff.WithMaxElapsedTime(w.config.FinishTimeout))
	if err != nil {
		w.deps.Logger.Error("usage_not_written", zap.Int("statements", len(w.pending)), zap.Error(err))
	}
	return nil
}

func (w *Writer) write(ctx context.Context) error {
	if err := w.close(); err != nil {
		return err
	}
	if err := w.flush(ctx); err != nil {
		w.deps.Logger.Warn("usage_append_failed", telemetry.ErrorKind(err), zap.Int("pending", len(w.pending)), zap.Error(err))
	}
	return nil
}

// close ends the interval with a statement, unless nothing was used or too many
// statements wait.
func (w *Writer) close() error {
	if len(w.pending) >= maxPending {
		return nil
	}
	lines := w.deps.Meter.TakeLines()
	if len(lines) == 0 {
		return nil
	}
	now := w.deps.Now()
	statement, err := w.deps.Chain.SignNext(w.from.UnixMilli(), now.UnixMilli(), lines)
	if err != nil {
		return fmt.Errorf("metering: %w", err)
	}
	data, err := codec.Marshal(statement)
	if err != nil {
		return fmt.Errorf("metering: %w", err)
	}
	w.from = now
	w.pending = append(w.pending, data)
	return nil
}

// flush appends what waits. After an unknown outcome the same statements are
// appended again: by their sequence each counts once.
func (w *Writer) flush(ctx context.Context) error {
	if len(w.pending) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.AppendTimeout)
	defer cancel()
	if _, err := w.deps.Log.Append(ctx, logservice.UsageStream, w.pending); err != nil {
		return fmt.Errorf("metering: append: %w", err)
	}
	w.pending = nil
	return nil
}
