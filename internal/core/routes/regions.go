package routes

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// AllowsRequest reports whether a request may run in a region. The newest route of its name
// decides, since the configuration may have changed while the request waited; if no route
// has the name any more, matched does, the regions of the route that it matched. t is nil
// before the first configuration.
func (t *Table) AllowsRequest(route string, matched []ident.Region, region ident.Region) bool {
	if t == nil || len(t.byName[route]) == 0 {
		return len(matched) == 0 || slices.Contains(matched, region)
	}
	for _, r := range t.byName[route] {
		if !r.Allows(region) {
			return false
		}
	}
	return true
}

// Gap is a service of a route that no allowed region has a backend server of.
type Gap struct {
	Route   string
	Service ident.Service
	Reason  string
}

// Reasons of a gap.
const (
	NoHost   = "no host is in the allowed regions"
	NoServer = "no backend server is in the allowed regions"
)

// Gaps returns the services that routes with allowed regions cannot reach. hosts contains
// the regions of the known hosts, servers those of the backend servers of each service.
func (t *Table) Gaps(hosts map[ident.Region]bool, servers map[ident.Service]map[ident.Region]bool) []Gap {
	var out []Gap
	for i := range t.Routes {
		r := &t.Routes[i]
		if len(r.Regions) == 0 {
			continue
		}
		in := func(regions map[ident.Region]bool) bool {
			return slices.ContainsFunc(r.Regions, func(x ident.Region) bool { return regions[x] })
		}
		for _, s := range r.Shares {
			switch {
			case s.Weight == 0:
			case !in(hosts):
				out = append(out, Gap{r.Name, s.Service, NoHost})
			case !in(servers[s.Service]):
				out = append(out, Gap{r.Name, s.Service, NoServer})
			}
		}
	}
	return out
}
