package pipeline

import (
	"context"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Recover converts a panic of a later handler into an Internal error, whose
// execution status is unknown, and logs the panic with its stack.
func Recover(log *zap.Logger) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (resp *Response, err error) {
			var catcher panics.Catcher
			catcher.Try(func() { resp, err = next.Handle(ctx, r) })
			p := catcher.Recovered()
			if p == nil {
				return resp, err
			}
			log.Error("request_panic",
				zap.String("request_id", r.ID),
				zap.Any("value", p.Value),
				zap.ByteString("stack", p.Stack))
			return nil, errkind.New(errkind.Internal, "panic: %v", p.Value)
		})
	}
}
