package pipeline

import (
	"context"
	"errors"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Deadline cancels the context of the later filters at the request's deadline and
// classifies the resulting errors. After a successful call the context stays valid
// until the answer's body is closed.
func Deadline(clock ident.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(clock.Now()))
			resp, err := next.Handle(ctx, r)
			if err != nil {
				err = classifyError(ctx, err)
				cancel()
				return nil, err
			}
			resp.Body = onClose(resp.Body, cancel)
			return resp, nil
		})
	}
}

// classifyError returns err as an *errkind.Error. It returns an error that already
// has a kind unchanged, maps a bare context error to DeadlineAfterStart or
// Canceled, and passes any other error to errkind.As.
func classifyError(ctx context.Context, err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineAfterStart, "%w", err)
	case errors.Is(err, context.Canceled):
		return errkind.New(errkind.Canceled, "%w", err)
	default:
		return errkind.As(err)
	}
}

// notStartedError classifies an error that occurred before the dispatch: the
// execution status of the result is not-run. It returns an error that already has
// a kind unchanged.
func notStartedError(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return err
	}
	out := errkind.New(errkind.Canceled, "%w", err)
	if errors.Is(err, context.DeadlineExceeded) {
		out = errkind.New(errkind.DeadlineBeforeStart, "%w", err)
	}
	out.Truth = errkind.NotRun
	return out
}
