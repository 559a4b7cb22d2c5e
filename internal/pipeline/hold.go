package pipeline

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// AwaitOwnership passes a keyed request on once this daemon holds the lease of the
// request's slice. It waits for a takeover or handoff before the request acquires a
// slot, so that requests for a moving slice do not occupy the slots that requests
// for other slices need.
func AwaitOwnership(leases Leases) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			if r.Service.Mode != config.Keyed {
				return next.Handle(ctx, r)
			}
			lease, release, err := leases.Hold(ctx, r.Slice)
			if err != nil {
				return nil, notStartedError(err)
			}
			release()
			r.Epoch = lease.Epoch
			return next.Handle(ctx, r)
		})
	}
}
