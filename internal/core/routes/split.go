package routes

import "github.com/burdockfold/burdockfold/internal/core/ident"

// Splitter divides the requests of each route among its shares by smooth weighted
// round robin (as in nginx): in any sequence of requests, each share receives its
// part to within one request. It is not safe for concurrent use.
type Splitter struct {
	credit map[splitKey]int
}

type splitKey struct {
	route   string
	service ident.Service
}

// NewSplitter returns a splitter without recorded requests.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[splitKey]int)} }

// Next returns the service for the next request of a route.
func (s *Splitter) Next(r *Route) ident.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total, best := 0, -1
	for i, share := range r.Shares {
		if share.Weight == 0 {
			continue
		}
		k := splitKey{r.Name, share.Service}
		s.credit[k] += share.Weight
		total += share.Weight
		if best < 0 || s.credit[k] > s.credit[splitKey{r.Name, r.Shares[best].Service}] {
			best = i
		}
	}
	chosen := r.Shares[best].Service
	s.credit[splitKey{r.Name, chosen}] -= total
	return chosen
}
