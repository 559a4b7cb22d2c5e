package admission

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// shareDecay is applied to the counted use of every tenant once the largest
// passes shareWindow, so that a long silence earns no unbounded credit.
const (
	shareDecay  = 0.5
	shareWindow = 10 * time.Second
)

// share is the use of slots by one tenant.
type share struct {
	running int
	waiting int
	turn    uint64  // the last pass that saw a request of the tenant
	used    float64 // slot-nanoseconds, decayed
}

func (c *Core) share(t ident.Tenant) *share {
	s := c.shares[t]
	if s == nil {
		s = &share{}
		c.shares[t] = s
	}
	return s
}

// resume brings a tenant that was idle up to the least use among the active
// ones, so that a silence earns no credit (start-time fair queuing: Goyal, Vin,
// Cheng 1996).
func (c *Core) resume(t ident.Tenant) {
	s := c.share(t)
	if s.active() {
		return
	}
	least := math.Inf(1)
	for o, other := range c.shares {
		if other.active() {
			least = min(least, other.used/c.weight(o))
		}
	}
	if !math.IsInf(least, 1) {
		s.used = max(s.used, least*c.weight(t))
	}
}

func (s *share) active() bool { return s.running+s.waiting > 0 }

func (c *Core) weight(t ident.Tenant) float64 {
	if w := c.cfg.TenantWeights[t]; w > 0 {
		return w
	}
	return 1
}

// use is the tenant's use of slots relative to its weight. The tenant with the
// least goes first, so what others leave unused is lent without being asked
// back from running work.
func (c *Core) use(t ident.Tenant) float64 {
	s := c.shares[t]
	if s == nil {
		return 0
	}
	inUse := float64(s.running) * c.classes.typical()
	return (s.used + inUse) / c.weight(t)
}

func (c *Core) charge(t ident.Tenant, served time.Duration) {
	s := c.share(t)
	s.running--
	s.used += float64(max(served, 0))
	if s.used <= float64(shareWindow) {
		return
	}
	for _, o := range c.shares {
		o.used *= shareDecay
	}
}
