package sidecar

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// storeRetrier delays the next call to the store after a failed one, and logs when the
// store becomes unavailable and available again.
type storeRetrier struct {
	delays    *backoff.ExponentialBackOff
	lostSince time.Time // time of the first failure; zero while calls succeed
}

func newStoreRetrier(first, most time.Duration) *storeRetrier {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	return &storeRetrier{delays: b}
}

// waitAfterCall takes the result of a call to the store. It returns at once after a
// success or if ctx has ended, and otherwise after a random delay that grows with each
// failure.
func (r *storeRetrier) waitAfterCall(ctx context.Context, err error, log *zap.Logger, call string) {
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if !r.lostSince.IsZero() {
			log.Info("store_regained", zap.String("call", call), zap.Duration("after", time.Since(r.lostSince)))
			r.lostSince = time.Time{}
			r.delays.Reset()
		}
		return
	}
	if r.lostSince.IsZero() {
		r.lostSince = time.Now()
		log.Warn("store_lost", zap.String("call", call), zap.Error(err))
	}
	sleep(ctx, r.delays.NextBackOff())
}

// isRecovering reports whether the last call failed.
func (r *storeRetrier) isRecovering() bool { return !r.lostSince.IsZero() }

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
