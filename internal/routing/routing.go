// Package routing selects the daemons that may serve a request. Its inputs are
// the folded ownership table, the lease groups that this daemon holds and the
// results of earlier requests to other daemons. Its output is a pipeline.Route:
// the target daemons in order of preference. A route is only a hint: the leases of
// the target decide whether it may serve the request.
package routing

import (
	"math/rand/v2"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// TableSource returns the newest folded ownership table.
type TableSource interface {
	Table() *ownership.Table
}

// HeldGroups reports which lease groups this daemon holds now, so that this daemon
// serves the keys of a takeover before the takeover appears in the log.
type HeldGroups interface {
	Holds(group ident.Member) bool
}

// Router implements pipeline.Catalog, pipeline.Locator and pipeline.Regions. It is
// safe for concurrent use.
type Router struct {
	self   ident.Member
	region ident.Region
	clock  ident.Clock
	tables TableSource
	held   HeldGroups

	pending pendingRequests

	mu      sync.Mutex // guards chooser
	chooser *balance.Chooser
}

// New returns a router for the member self in the given region.
func New(self ident.Member, region ident.Region, clock ident.Clock, tables TableSource, held HeldGroups) *Router {
	return &Router{
		self:    self,
		region:  region,
		clock:   clock,
		tables:  tables,
		held:    held,
		chooser: balance.NewChooser(balance.DefaultConfig()),
	}
}

// Service implements pipeline.Catalog.
func (r *Router) Service(name ident.Service) (config.Service, bool) {
	return r.tables.Table().Config().Service(name)
}

// RegionOf implements pipeline.Regions. It returns an empty region for an unknown
// member.
func (r *Router) RegionOf(m ident.Member) ident.Region {
	info, _ := r.tables.Table().Member(m)
	return info.Location.Region
}

// Peer returns the mesh peer of a member, and false if the member's mesh address is
// not known.
func (r *Router) Peer(m ident.Member) (mesh.Peer, bool) {
	info, ok := r.tables.Table().Member(m)
	return mesh.Peer{Member: m, Addr: info.MeshAddr}, ok && info.MeshAddr != ""
}

// LocateKey implements pipeline.Locator. The targets are this daemon, if it holds
// the slice's lease group, then the holder by the ownership table, then the
// group's successors. The error is NoOwner if the slice is not assigned to a
// group or the group is not in the table.
func (r *Router) LocateKey(s config.Service, h ident.KeyHash) (pipeline.Route, error) {
	table := r.tables.Table()
	slice := table.SliceFor(s, h)
	route := pipeline.Route{Slice: slice}
	info, ok := table.Slice(slice)
	if !ok {
		return route, errkind.New(errkind.NoOwner, "slice %s is not assigned yet", slice)
	}
	g, ok := table.Group(info.Group)
	if !ok {
		return route, errkind.New(errkind.NoOwner, "lease group %s of slice %s is not set up yet", info.Group, slice)
	}
	route.Targets = make([]pipeline.Target, 0, len(g.Successors)+2)
	if r.held.Holds(g.ID) {
		route.Targets = r.appendTarget(route.Targets, table, r.self)
	}
	route.Targets = r.appendTarget(route.Targets, table, g.Holder)
	for _, m := range g.Successors {
		route.Targets = r.appendTarget(route.Targets, table, m)
	}
	return route, nil
}

// appendTarget appends m to targets. It skips a member that is in targets already, and one
// that is unknown or absent; this daemon itself may be marked absent.
func (r *Router) appendTarget(targets []pipeline.Target, table *ownership.Table, m ident.Member) []pipeline.Target {
	for i := range targets {
		if targets[i].Member == m {
			return targets
		}
	}
	info, ok := table.Member(m)
	if !ok || (!info.Present && m != r.self) {
		return targets
	}
	return append(targets, pipeline.Target{Member: m, Addr: info.MeshAddr, Local: m == r.self})
}

// LocatePool implements pipeline.Locator. The pool members of this daemon's region
// come first, led by the better of two random choices among them; see
// balance.Chooser. Draining and excluded members are left out. The error is
// BackendUnavailable if no member remains.
func (r *Router) LocatePool(s config.Service, exclude []ident.Member) (pipeline.Route, error) {
	table := r.tables.Table()
	var candidates []balance.Candidate
	for _, m := range table.PoolMembers(s.Pool) {
		if m.Draining || contains(exclude, m.Member) {
			continue
		}
		candidates = append(candidates, balance.Candidate{Member: m.Member, Region: m.Location.Region, Slots: m.Capabilities.Slots})
	}
	if len(candidates) == 0 {
		return pipeline.Route{}, errkind.New(errkind.BackendUnavailable, "pool %s has no backend server", s.Pool)
	}
	r.mu.Lock()
	order := r.chooser.Order(r.clock.Now(), globalRandom{}, r.region, candidates)
	r.mu.Unlock()
	route := pipeline.Route{Targets: make([]pipeline.Target, 0, len(order))}
	for _, c := range order {
		route.Targets = r.appendTarget(route.Targets, table, c.Member)
	}
	return route, nil
}

func contains(ms []ident.Member, m ident.Member) bool {
	for i := range ms {
		if ms[i] == m {
			return true
		}
	}
	return false
}

// globalRandom implements the chooser's random source with math/rand/v2.
type globalRandom struct{}

// IntN returns a random number in [0, n).
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// recordSent counts a request that is about to be forwarded to m.
func (r *Router) recordSent(m ident.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordSent(m)
}

// recordEnd records the end of a request that was forwarded to m.
func (r *Router) recordEnd(m ident.Member, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordEnd(r.clock.Now(), m, err != nil && indicatesUnreachable(errkind.Of(err)))
}

// indicatesUnreachable reports whether an error of kind k means that the daemon or
// its backend server could not be reached or did not answer, rather than that it
// was busy.
func indicatesUnreachable(k errkind.Kind) bool {
	switch k {
	case errkind.PeerUnreachable, errkind.OutcomeUnknown, errkind.BackendUnavailable, errkind.DeadlineAfterStart:
		return true
	default:
		return false
	}
}

// ForgetAbsentMembers discards the load observations of members that have left.
func (r *Router) ForgetAbsentMembers() {
	table := r.tables.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.Retain(func(m ident.Member) bool {
		info, ok := table.Member(m)
		return ok && info.Present
	})
}
