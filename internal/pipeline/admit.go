package pipeline

import (
	"context"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Admit passes a request on once it has acquired a slot of the backend server. The
// request holds the slot until the answer's body is closed.
func Admit(admission Admission, clock ident.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			release, err := admission.Acquire(ctx, r)
			if err != nil {
				return nil, notStartedError(err)
			}
			started := clock.Now()
			resp, err := next.Handle(ctx, r)
			if err != nil {
				release(serviceTimeOfFailure(clock, r))
				return nil, err
			}
			resp.Body = onClose(resp.Body, func() { release(elapsedSince(clock, started)) })
			return resp, nil
		})
	}
}

func elapsedSince(clock ident.Clock, start ident.Instant) time.Duration {
	return clock.Now().Sub(start)
}

// serviceTimeOfFailure returns the service time of a failed request. It is zero if
// the request never reached the backend server.
func serviceTimeOfFailure(clock ident.Clock, r *Request) time.Duration {
	if r.Started == 0 {
		return 0
	}
	return elapsedSince(clock, r.Started)
}
