package admission

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// shareDecay is the factor by which the recorded use of every tenant is reduced as
// soon as that of one tenant exceeds shareWindow. It bounds the credit that a tenant
// gains while others use the slots.
const (
	shareDecay  = 0.5
	shareWindow = 10 * time.Second
)

// tenantShare records the use of the slots by one tenant.
type tenantShare struct {
	running  int     // running requests
	waiting  int     // waiting requests
	lastPass uint64  // last pass of nextIndex that found a startable request of the tenant
	used     float64 // use of the slots by ended requests, in slot-nanoseconds, decayed
}

// shareOf returns the share of a tenant and creates it if there is none.
func (c *Core) shareOf(t ident.Tenant) *tenantShare {
	s := c.shares[t]
	if s == nil {
		s = &tenantShare{}
		c.shares[t] = s
	}
	return s
}

// reactivateTenant raises the recorded use of a tenant that was idle to the least
// relative use among the active tenants, so that a tenant gains no credit while it
// is idle (start-time fair queuing: Goyal, Vin, Cheng 1996).
func (c *Core) reactivateTenant(t ident.Tenant) {
	s := c.shareOf(t)
	if s.isActive() {
		return
	}
	least := math.Inf(1)
	for o, other := range c.shares {
		if other.isActive() {
			least = min(least, other.used/c.tenantWeight(o))
		}
	}
	if !math.IsInf(least, 1) {
		s.used = max(s.used, least*c.tenantWeight(t))
	}
}

// isActive reports whether the tenant has running or waiting requests.
func (s *tenantShare) isActive() bool { return s.running+s.waiting > 0 }

// tenantWeight returns the configured weight of a tenant, or 1 without one.
func (c *Core) tenantWeight(t ident.Tenant) float64 {
	if w := c.cfg.TenantWeights[t]; w > 0 {
		return w
	}
	return 1
}

// relativeUse returns the tenant's use of the slots divided by its weight, with its
// running requests counted at the typical service time. The tenant with the least
// relative use goes first. So a tenant may also use slots that others leave unused,
// and running requests are never preempted to return them.
func (c *Core) relativeUse(t ident.Tenant) float64 {
	s := c.shares[t]
	if s == nil {
		return 0
	}
	inUse := float64(s.running) * c.estimates.typicalServiceTime()
	return (s.used + inUse) / c.tenantWeight(t)
}

// chargeTenant records the end of a tenant's running request, which occupied its
// slot for the time served.
func (c *Core) chargeTenant(t ident.Tenant, served time.Duration) {
	s := c.shareOf(t)
	s.running--
	s.used += float64(max(served, 0))
	if s.used <= float64(shareWindow) {
		return
	}
	for _, o := range c.shares {
		o.used *= shareDecay
	}
}
