package sidecar

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// retrier waits between failed calls to the store and tells when the store is
// lost and regained.
type retrier struct {
	delays *backoff.ExponentialBackOff
	lost   time.Time // zero while calls succeed
}

func newBackoff(first, most time.Duration) *retrier {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	return &retrier{delays: b}
}

// wait returns at once after a success, else after a growing random delay.
func (r *retrier) wait(ctx context.Context, err error, log *zap.Logger, call string) {
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if !r.lost.IsZero() {
			log.Info("store_regained", zap.String("call", call), zap.Duration("after", time.Since(r.lost)))
			r.lost = time.Time{}
			r.delays.Reset()
		}
		return
	}
	if r.lost.IsZero() {
		r.lost = time.Now()
		log.Warn("store_lost", zap.String("call", call), zap.Error(err))
	}
	sleep(ctx, r.delays.NextBackOff())
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
