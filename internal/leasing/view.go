package leasing

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// view is what the request path reads of the leases. It is immutable; each
// change stores a new view.
type view struct {
	openSlices    map[ident.Slice]openSlice      // slices that may be served while the lease on their group is valid
	leaseUntil    map[ident.Member]ident.Instant // end of the lease of each held group
	pendingGroups map[ident.Member]bool          // groups that are being claimed, or held and not yet open
	expectedUntil map[ident.Slice]ident.Instant  // slices that requests may wait for: announced by their previous holder, or not yet granted
	movingSlices  map[ident.Slice]openSlice      // slices that are being moved away
	changed       chan struct{}                  // closed when a later view may change the answer to a waiting request
}

// openSlice is the group and epoch at which a slice is served.
type openSlice struct {
	group ident.Member
	epoch ident.Epoch
}

var _ pipeline.Leases = (*Controller)(nil)

// Hold registers a request in flight on the slice. It waits while the slice is
// moving or is expected here. See pipeline.Leases.
func (c *Controller) Hold(ctx context.Context, s ident.Slice) (pipeline.Lease, func(), error) {
	waits := false
	defer func() {
		if waits {
			c.waiting.Add(-1)
		}
	}()
	for {
		v := c.view.Load()
		if l, release, ok := c.tryHold(v, s); ok {
			return l, release, nil
		}
		if v != c.view.Load() {
			continue
		}
		if err := c.refusalError(v, s); err != nil {
			return pipeline.Lease{}, nil, err
		}
		if !waits && c.waiting.Add(1) > int64(c.config.MaxWaitingRequests) {
			c.waiting.Add(-1)
			return pipeline.Lease{}, nil, errkind.New(errkind.Overloaded, "too many requests wait for a slice")
		}
		waits = true
		if err := awaitChange(ctx, v, s); err != nil {
			return pipeline.Lease{}, nil, err
		}
	}
}

// awaitChange waits until a later view may give another answer for the slice.
// It returns an error if ctx ends first.
func awaitChange(ctx context.Context, v *view, s ident.Slice) error {
	select {
	case <-v.changed:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineBeforeStart, "waiting for slice %s: %w", s, ctx.Err())
	}
}

// tryHold counts the request before it checks the view again. Either a move
// that closes the slice sees the counted request, or the request sees the
// closed slice.
func (c *Controller) tryHold(v *view, s ident.Slice) (pipeline.Lease, func(), bool) {
	if _, ok := c.lookUpOpen(v, s); !ok {
		return pipeline.Lease{}, nil, false
	}
	c.inFlight.addRequest(s)
	l, ok := c.lookUpOpen(c.view.Load(), s)
	if !ok {
		c.inFlight.removeRequest(s)
		return pipeline.Lease{}, nil, false
	}
	return l, func() { c.inFlight.removeRequest(s) }, true
}

// lookUpOpen returns the lease on an open slice and whether it is valid now.
func (c *Controller) lookUpOpen(v *view, s ident.Slice) (pipeline.Lease, bool) {
	o, found := v.openSlices[s]
	if !found {
		return pipeline.Lease{}, false
	}
	until := v.leaseUntil[o.group]
	return pipeline.Lease{Epoch: o.epoch, Until: until}, c.clock.Now().Before(until)
}

// refusalError returns why this daemon does not serve the slice, or nil if the
// slice may open here soon.
func (c *Controller) refusalError(v *view, s ident.Slice) error {
	if o, found := v.openSlices[s]; found {
		return errkind.New(errkind.LeaseLapsed, "slice %s: the lease on %s has lapsed", s, o.group)
	}
	if _, moving := v.movingSlices[s]; moving || c.clock.Now().Before(v.expectedUntil[s]) {
		return nil
	}
	info, found := c.table.Slice(s)
	if !found {
		return errkind.New(errkind.NoOwner, "slice %s is not assigned", s)
	}
	if v.pendingGroups[info.Group] {
		return nil
	}
	if g, _ := c.table.Group(info.Group); g.Holder == c.self {
		return errkind.New(errkind.LeaseLapsed, "slice %s: the lease on %s has lapsed", s, info.Group)
	}
	return errkind.New(errkind.NotOwner, "slice %s is in group %s", s, info.Group)
}

// Check returns an error unless the lease covers the instant at; see
// pipeline.Leases. A request that holds the slice keeps its epoch, while the
// lease may have been renewed since, so Check also accepts the current lease at
// the same epoch.
func (c *Controller) Check(s ident.Slice, l pipeline.Lease, at ident.Instant) error {
	if at.Before(l.Until) {
		return nil
	}
	v := c.view.Load()
	o, found := v.openSlices[s]
	if !found {
		o, found = v.movingSlices[s]
	}
	if found && o.epoch == l.Epoch && at.Before(v.leaseUntil[o.group]) {
		return nil
	}
	return errkind.New(errkind.LeaseLapsed, "slice %s: the lease at epoch %s has lapsed", s, l.Epoch)
}
