package leasing

import "github.com/burdockfold/burdockfold/internal/core/ident"

// ServesGroup reports whether this daemon holds a valid lease on the group and
// has opened the group to requests.
func (c *Controller) ServesGroup(group ident.Member) bool {
	v := c.view.Load()
	until, ok := v.leaseUntil[group]
	return ok && !v.pendingGroups[group] && c.clock.Now().Before(until)
}

// HeldGroups returns the groups whose lease this daemon held when the current
// view was published, in no particular order.
func (c *Controller) HeldGroups() []ident.Member {
	v := c.view.Load()
	out := make([]ident.Member, 0, len(v.leaseUntil))
	for id := range v.leaseUntil {
		out = append(out, id)
	}
	return out
}
