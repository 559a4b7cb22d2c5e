package sidecar

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// ownerRetryAfter is the delay after which a caller may retry a request whose key has its owner
// in a region that is not allowed: balancing moves keys within seconds at the soonest.
const ownerRetryAfter = 5 * time.Second

// regionGuard refuses requests that must not run in the region of this daemon, by its own
// configuration: that of the sender may be older. A nil guard refuses nothing.
type regionGuard struct {
	region ident.Region
	routes func() *routes.Table
}

// check returns the refusal of a request, nil if it may run here.
func (g *regionGuard) check(r *hop.Request) *errkind.Error {
	if g == nil || g.routes().AllowsRequest(r.Route, r.Regions, g.region) {
		return nil
	}
	return errkind.New(errkind.RegionNotAllowed, "route %q does not allow region %q", r.Route, g.region)
}

// elsewhere returns the refusal of a request whose key has its owner in a region that is not
// allowed.
func elsewhere(r *hop.Request, region ident.Region) *errkind.Error {
	e := errkind.New(errkind.RegionNotAllowed, "the owner of key %d is in region %q, which route %q does not allow", r.Key, region, r.Route)
	e.RetryAfter = ownerRetryAfter
	return e
}

// allows reports whether a request may be sent to a region.
func (c *chooser) allows(r *hop.Request, region ident.Region) bool {
	return !slices.Contains(r.BarredRegions, region) && c.routes().AllowsRequest(r.Route, r.Regions, region)
}

// barRegionOf keeps a request from the region of a target that refused it for its region:
// the configuration there is newer than here.
func (c *chooser) barRegionOf(t edge.Target, r *hop.Request) {
	if l := c.locationOf(t); l.Region != "" {
		r.BarredRegions = append(r.BarredRegions, l.Region)
	}
}

// logGaps logs each route that no backend server in its allowed regions can serve, and each
// that one can serve again. It waits for the list of hosts, before which most are unknown.
func (p *peers) logGaps() {
	table := p.configs.Routes()
	if table == nil {
		return
	}
	hosts, servers := make(map[ident.Region]bool), make(map[ident.Service]map[ident.Region]bool)
	p.mu.Lock()
	listed := p.hostsListed
	p.roster.Each(func(q *roster.Peer) {
		hosts[q.Location.Region] = true
		if servers[q.Server.Service] == nil {
			servers[q.Server.Service] = make(map[ident.Region]bool)
		}
		servers[q.Server.Service][q.Location.Region] = true
	})
	p.mu.Unlock()
	if !listed {
		return
	}
	gaps := table.Gaps(hosts, servers)
	for _, g := range gaps {
		if !slices.Contains(p.gaps, g) {
			p.log.Warn("route_without_server", zap.String("route", g.Route), zap.String("service", string(g.Service)), zap.String("reason", g.Reason))
		}
	}
	for _, g := range p.gaps {
		if !slices.ContainsFunc(gaps, func(n routes.Gap) bool { return n.Route == g.Route && n.Service == g.Service }) {
			p.log.Info("route_with_server", zap.String("route", g.Route), zap.String("service", string(g.Service)))
		}
	}
	p.gaps = gaps
}
