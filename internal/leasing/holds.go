package leasing

import "github.com/burdockfold/burdockfold/internal/core/ident"

// ServesGroup reports whether this daemon holds the lease of a group now and serves
// its slices.
func (c *Controller) ServesGroup(group ident.Member) bool {
	v := c.view.Load()
	until, ok := v.until[group]
	return ok && !v.coming[group] && c.clock.Now().Before(until)
}

// HeldGroups returns the groups whose lease this daemon holds as last seen, in
// no particular order.
func (c *Controller) HeldGroups() []ident.Member {
	v := c.view.Load()
	out := make([]ident.Member, 0, len(v.until))
	for id := range v.until {
		out = append(out, id)
	}
	return out
}
