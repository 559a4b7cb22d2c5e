package leasing

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// publish brings the view of the request path up to date and asks for what is
// missing: grants of the backend server and records in the log.
func (c *Controller) publish(ctx context.Context) {
	now := c.clock.Now()
	c.endMoves()
	next := &view{
		open:    map[ident.Slice]openSlice{},
		until:   map[ident.Member]ident.Instant{},
		coming:  c.comingGroups(),
		arrival: c.arrivals(now),
		leaving: map[ident.Slice]openSlice{},
		changed: make(chan struct{}),
	}
	var wanted []groupGrant
	for id, g := range c.groups {
		_, until, ok := c.node.ValidLease(now, id)
		if !ok {
			continue
		}
		next.until[id] = until
		if c.opened(now, g) {
			wanted = append(wanted, c.openGroup(next, id, g, until))
		} else {
			next.coming[id] = true
		}
	}
	slices.SortFunc(wanted, func(a, b groupGrant) int { return cmp.Compare(a.group.String(), b.group.String()) })
	c.swap(next)
	c.requestGrants(ctx, wanted)
	c.requestRecords(ctx, now)
}

// opened reports whether the group's slices may be served: the claim is in the
// log, or the log did not answer in time, and the table is recent enough.
func (c *Controller) opened(now ident.Instant, g *heldGroup) bool {
	return c.recentEnough(g) && (g.recorded || !now.Before(g.openAt))
}

// recentEnough reports whether the table has all that left the group: a slice
// that it does not know may hold a key of one that it knows.
func (c *Controller) recentEnough(g *heldGroup) bool {
	if c.table.Position() < g.floor {
		return false
	}
	for s := range g.released {
		if _, known := c.table.Slice(s); !known {
			return false
		}
	}
	return true
}

// openGroup adds the slices that the backend server was granted and returns the
// grants that it needs.
func (c *Controller) openGroup(next *view, id ident.Member, g *heldGroup, until ident.Instant) groupGrant {
	wanted := groupGrant{group: id, until: until}
	for _, info := range c.table.GroupSlices(id) {
		o := openSlice{group: id, epoch: ident.NewEpoch(info.Assignment, g.claim)}
		prior, released := g.released[info.Slice]
		released = released && prior >= info.Assignment
		if !released {
			wanted.grants = append(wanted.grants, SliceGrant{Slice: info.Slice, Epoch: o.epoch})
		}
		switch {
		case c.moves[info.Slice] != nil:
			next.leaving[info.Slice] = o
		case released:
			next.arrival[info.Slice] = until
		case c.confirms[info.Slice] == o.epoch:
			next.open[info.Slice] = o
		default:
			next.arrival[info.Slice] = until
		}
	}
	return wanted
}

func (c *Controller) comingGroups() map[ident.Member]bool {
	out := map[ident.Member]bool{}
	for _, id := range c.node.PendingClaims() {
		out[id] = true
	}
	return out
}

// arrivals drops what was announced too long ago.
func (c *Controller) arrivals(now ident.Instant) map[ident.Slice]ident.Instant {
	maps.DeleteFunc(c.arrival, func(_ ident.Slice, until ident.Instant) bool { return until.Before(now) })
	return maps.Clone(c.arrival)
}

// swap publishes the view. Waiting requests are woken only by a change that
// may matter to them.
func (c *Controller) swap(next *view) {
	old := c.view.Load()
	if sameSlices(old, next) {
		next.changed = old.changed
		c.view.Store(next)
		return
	}
	c.view.Store(next)
	close(old.changed)
}

func sameSlices(a, b *view) bool {
	return maps.Equal(a.open, b.open) && maps.Equal(a.coming, b.coming) &&
		maps.Equal(a.leaving, b.leaving) && maps.Equal(a.arrival, b.arrival) &&
		len(a.until) == len(b.until)
}

// groupGrant is the grants of one group with the end of its lease.
type groupGrant struct {
	group  ident.Member
	until  ident.Instant
	grants []SliceGrant
}

// grantResult tells which grants the backend server has accepted.
type grantResult struct{ accepted []SliceGrant }

// requestGrants hands the grants to their duty when the lease or the slices
// have changed.
func (c *Controller) requestGrants(ctx context.Context, wanted []groupGrant) {
	if sameGrants(c.lastGrants, wanted) {
		return
	}
	c.lastGrants = wanted
	c.grants.Put(ctx, wanted)
}

func sameGrants(a, b []groupGrant) bool {
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

// sendGrants is the duty that tells the backend server of its grants.
func (c *Controller) sendGrants(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case wanted := <-c.grants.C():
			for _, g := range wanted {
				c.sendGroup(ctx, g)
			}
		}
	}
}

func (c *Controller) sendGroup(ctx context.Context, g groupGrant) {
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
	c.granted.Put(ctx, grantResult{accepted: g.grants})
}

func (c *Controller) onGranted(r grantResult) {
	for _, g := range r.accepted {
		c.confirms[g.Slice] = max(c.confirms[g.Slice], g.Epoch)
	}
}

// ResendGrants makes the controller tell the backend server of all its grants again,
// for a server that has restarted. It does not block.
func (c *Controller) ResendGrants() { c.requests.Put(context.Background(), regrant{}) }

// regrant forgets what the backend server had accepted.
type regrant struct{}

func (regrant) apply(c *Controller) {
	clear(c.confirms)
	c.lastGrants = nil
}
