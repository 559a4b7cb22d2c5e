package leasing

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// view is what the request path sees of the leases. It is immutable; a change
// publishes another.
type view struct {
	open    map[ident.Slice]openSlice
	until   map[ident.Member]ident.Instant // groups held here
	coming  map[ident.Member]bool          // groups claimed or not yet opened here
	arrival map[ident.Slice]ident.Instant  // slices announced by their holder
	leaving map[ident.Slice]openSlice      // slices that are moving away
	changed chan struct{}                  // closed, without a value, by the next view
}

// openSlice is a slice that may be served while its group is held.
type openSlice struct {
	group ident.Member
	epoch ident.Epoch
}

var _ pipeline.Leases = (*Controller)(nil)

// Hold registers a request in flight on the slice; see pipeline.Leases.
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
		if err := c.refusal(v, s); err != nil {
			return pipeline.Lease{}, nil, err
		}
		if !waits && c.waiting.Add(1) > int64(c.config.MaxWaitingRequests) {
			c.waiting.Add(-1)
			return pipeline.Lease{}, nil, errkind.New(errkind.Overloaded, "too many requests wait for a slice")
		}
		waits = true
		if err := await(ctx, v, s); err != nil {
			return pipeline.Lease{}, nil, err
		}
	}
}

// await returns when a later view may have another answer for the slice.
func await(ctx context.Context, v *view, s ident.Slice) error {
	select {
	case <-v.changed:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineBeforeStart, "waiting for slice %s: %w", s, ctx.Err())
	}
}

// tryHold counts the request first and looks again, so that a move which closes
// the slice sees the request or the request sees the closed slice.
func (c *Controller) tryHold(v *view, s ident.Slice) (pipeline.Lease, func(), bool) {
	if _, ok := c.lookUp(v, s); !ok {
		return pipeline.Lease{}, nil, false
	}
	c.inFlight.add(s)
	l, ok := c.lookUp(c.view.Load(), s)
	if !ok {
		c.inFlight.done(s)
		return pipeline.Lease{}, nil, false
	}
	return l, func() { c.inFlight.done(s) }, true
}

func (c *Controller) lookUp(v *view, s ident.Slice) (pipeline.Lease, bool) {
	o, found := v.open[s]
	if !found {
		return pipeline.Lease{}, false
	}
	until := v.until[o.group]
	return pipeline.Lease{Epoch: o.epoch, Until: until}, c.clock.Now().Before(until)
}

// refusal returns why the slice cannot be served here; nil when it may be soon.
func (c *Controller) refusal(v *view, s ident.Slice) error {
	if o, found := v.open[s]; found {
		return errkind.New(errkind.LeaseLapsed, "slice %s: the lease on %s has lapsed", s, o.group)
	}
	if _, moving := v.leaving[s]; moving || c.clock.Now().Before(v.arrival[s]) {
		return nil
	}
	info, found := c.table.Slice(s)
	if !found {
		return errkind.New(errkind.NoOwner, "slice %s is not assigned", s)
	}
	if v.coming[info.Group] {
		return nil
	}
	if g, _ := c.table.Group(info.Group); g.Holder == c.self {
		return errkind.New(errkind.LeaseLapsed, "slice %s: the lease on %s has lapsed", s, info.Group)
	}
	return errkind.New(errkind.NotOwner, "slice %s is in group %s", s, info.Group)
}

// Check reports whether the lease still covers the instant; see
// pipeline.Leases. A request that holds the slice keeps its epoch, and the
// lease may have been renewed since.
func (c *Controller) Check(s ident.Slice, l pipeline.Lease, at ident.Instant) error {
	if at.Before(l.Until) {
		return nil
	}
	v := c.view.Load()
	o, found := v.open[s]
	if !found {
		o, found = v.leaving[s]
	}
	if found && o.epoch == l.Epoch && at.Before(v.until[o.group]) {
		return nil
	}
	return errkind.New(errkind.LeaseLapsed, "slice %s: the lease at epoch %s has lapsed", s, l.Epoch)
}
