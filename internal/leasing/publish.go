package leasing

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// publishView builds and stores the view of the request path. It also requests
// what is missing: grants for the backend server and records in the log.
func (c *Controller) publishView(ctx context.Context) {
	now := c.clock.Now()
	c.dropEndedMoves()
	next := &view{
		openSlices:    map[ident.Slice]openSlice{},
		leaseUntil:    map[ident.Member]ident.Instant{},
		pendingGroups: c.findPendingGroups(),
		expectedUntil: c.currentAnnouncements(now),
		movingSlices:  map[ident.Slice]openSlice{},
		changed:       make(chan struct{}),
	}
	var wanted []groupGrants
	for id, g := range c.groups {
		_, until, ok := c.node.ValidLease(now, id)
		if !ok {
			continue
		}
		next.leaseUntil[id] = until
		if c.mayOpen(now, g) {
			wanted = append(wanted, c.addGroup(next, id, g, until))
		} else {
			next.pendingGroups[id] = true
		}
	}
	slices.SortFunc(wanted, func(a, b groupGrants) int { return cmp.Compare(a.group.String(), b.group.String()) })
	c.storeView(next)
	c.requestGrants(ctx, wanted)
	c.requestRecords(ctx, now)
}

// mayOpen reports whether the slices of the group may be served: the table is
// recent enough, and the claim is in the log or the deadline for recording it
// has passed.
func (c *Controller) mayOpen(now ident.Instant, g *heldGroup) bool {
	return c.tableCoversReleases(g) && (g.recorded || !now.Before(g.openDeadline))
}

// tableCoversReleases reports whether the table includes every slice that left
// the group. Otherwise a slice missing from the table could own a key that the
// table still shows in another slice.
func (c *Controller) tableCoversReleases(g *heldGroup) bool {
	if c.table.Position() < g.tableFloor {
		return false
	}
	for s := range g.releasedSlices {
		if _, known := c.table.Slice(s); !known {
			return false
		}
	}
	return true
}

// addGroup adds the slices of a group to the view, as open where the backend
// server has accepted the epoch, and returns the grants that the group needs.
func (c *Controller) addGroup(next *view, id ident.Member, g *heldGroup, until ident.Instant) groupGrants {
	wanted := groupGrants{group: id, until: until}
	for _, info := range c.table.GroupSlices(id) {
		o := openSlice{group: id, epoch: ident.NewEpoch(info.Assignment, g.claim)}
		prior, released := g.releasedSlices[info.Slice]
		released = released && prior >= info.Assignment
		if !released {
			wanted.grants = append(wanted.grants, SliceGrant{Slice: info.Slice, Epoch: o.epoch})
		}
		switch {
		case c.moves[info.Slice] != nil:
			next.movingSlices[info.Slice] = o
		case released:
			next.expectedUntil[info.Slice] = until
		case c.acceptedEpochs[info.Slice] == o.epoch:
			next.openSlices[info.Slice] = o
		default:
			next.expectedUntil[info.Slice] = until
		}
	}
	return wanted
}

// findPendingGroups returns the groups that this daemon is claiming.
func (c *Controller) findPendingGroups() map[ident.Member]bool {
	out := map[ident.Member]bool{}
	for _, id := range c.node.PendingClaims() {
		out[id] = true
	}
	return out
}

// currentAnnouncements removes expired announcements and returns a copy of the
// others.
func (c *Controller) currentAnnouncements(now ident.Instant) map[ident.Slice]ident.Instant {
	maps.DeleteFunc(c.announcedUntil, func(_ ident.Slice, until ident.Instant) bool { return until.Before(now) })
	return maps.Clone(c.announcedUntil)
}

// storeView publishes the view. It wakes waiting requests only if the change
// may matter to them.
func (c *Controller) storeView(next *view) {
	old := c.view.Load()
	if sameForWaiters(old, next) {
		next.changed = old.changed
		c.view.Store(next)
		return
	}
	c.view.Store(next)
	close(old.changed)
}

// sameForWaiters reports whether both views give waiting requests the same
// answer. It does not compare the ends in leaseUntil, so that a renewal usually
// wakes no request. But addGroup writes the lease's end to expectedUntil for
// slices that are released or not yet granted, and while there are such slices,
// a renewal of their group wakes all waiting requests.
func sameForWaiters(a, b *view) bool {
	return maps.Equal(a.openSlices, b.openSlices) && maps.Equal(a.pendingGroups, b.pendingGroups) &&
		maps.Equal(a.movingSlices, b.movingSlices) && maps.Equal(a.expectedUntil, b.expectedUntil) &&
		len(a.leaseUntil) == len(b.leaseUntil)
}

// groupGrants holds the grants for the slices of one group and the end of the
// group's lease.
type groupGrants struct {
	group  ident.Member
	until  ident.Instant
	grants []SliceGrant
}

// grantResult lists the grants that the backend server has accepted.
type grantResult struct{ accepted []SliceGrant }

// requestGrants queues the grants for sending if a lease or the slices have
// changed since the last request.
func (c *Controller) requestGrants(ctx context.Context, wanted []groupGrants) {
	if sameGrants(c.lastGrantRequest, wanted) {
		return
	}
	c.lastGrantRequest = wanted
	c.grantRequests.Put(ctx, wanted)
}

func sameGrants(a, b []groupGrants) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].until != b[i].until || len(a[i].grants) != len(b[i].grants) {
			return false
		}
		for j := range a[i].grants {
			if a[i].grants[j] != b[i].grants[j] {
				return false
			}
		}
	}
	return true
}

// sendGrants sends queued grants to the backend server until ctx ends.
func (c *Controller) sendGrants(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case wanted := <-c.grantRequests.C():
			for _, g := range wanted {
				c.sendGroupGrants(ctx, g)
			}
		}
	}
}

// sendGroupGrants sends the grants of one group with the remaining time of its
// lease.
func (c *Controller) sendGroupGrants(ctx context.Context, g groupGrants) {
	ttl := g.until.Sub(c.clock.Now())
	if ttl <= 0 || len(g.grants) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	if err := c.Granter.Grant(ctx, g.grants, ttl); err != nil {
		c.Log.Warn("grant_not_accepted", zap.Int("slices", len(g.grants)), zap.Duration("ttl", ttl), zap.Error(err))
		return
	}
	c.grantResults.Put(ctx, grantResult{accepted: g.grants})
}

// onGrantResult stores the accepted epochs; a late result does not replace a
// newer epoch.
func (c *Controller) onGrantResult(r grantResult) {
	for _, g := range r.accepted {
		c.acceptedEpochs[g.Slice] = max(c.acceptedEpochs[g.Slice], g.Epoch)
	}
}

// ResendGrants makes the controller send all grants again, for a backend server
// that has restarted. It does not block.
func (c *Controller) ResendGrants() { c.requests.Put(context.Background(), resendGrants{}) }

// resendGrants is the loopRequest that discards what the backend server has
// accepted, so that the next view requests all grants again.
type resendGrants struct{}

func (resendGrants) apply(c *Controller) {
	clear(c.acceptedEpochs)
	c.lastGrantRequest = nil
}
