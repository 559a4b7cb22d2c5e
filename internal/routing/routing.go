// Package routing answers where a request may be served, from the folded table
// and from what this daemon observed of other daemons.
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

// TableSource returns the newest folded table.
type TableSource interface {
	Table() *ownership.Table
}

// HeldGroups tells which lease groups this daemon holds at the moment, so that a
// takeover that the log does not show yet is served here.
type HeldGroups interface {
	Holds(group ident.Member) bool
}

// Router implements the lookups of the pipeline. It is safe for concurrent use.
type Router struct {
	self   ident.Member
	region ident.Region
	clock  ident.Clock
	tables TableSource
	held   HeldGroups

	losses lossWatch

	mu      sync.Mutex // guards chooser
	chooser *balance.Chooser
}

// New returns a router of the member self in a region.
func New(self ident.Member, region ident.Region, clock ident.Clock, t TableSource, held HeldGroups) *Router {
	return &Router{
		self:    self,
		region:  region,
		clock:   clock,
		tables:  t,
		held:    held,
		chooser: balance.NewChooser(balance.DefaultConfig()),
	}
}

// Service implements pipeline.Catalog.
func (r *Router) Service(name ident.Service) (config.Service, bool) {
	return r.tables.Table().Config().Service(name)
}

// RegionOf implements pipeline.Regions; the region of an unknown member is
// empty.
func (r *Router) RegionOf(m ident.Member) ident.Region {
	info, _ := r.tables.Table().Member(m)
	return info.Location.Region
}

// Peer returns the mesh address of a member.
func (r *Router) Peer(m ident.Member) (mesh.Peer, bool) {
	info, ok := r.tables.Table().Member(m)
	return mesh.Peer{Member: m, Addr: info.MeshAddr}, ok && info.MeshAddr != ""
}

// LocateKey implements pipeline.Locator. The targets are this daemon if it holds
// the slice's group, then the recorded holder, then the successors.
func (r *Router) LocateKey(s config.Service, h ident.KeyHash) (pipeline.Route, error) {
	t := r.tables.Table()
	slice := t.SliceFor(s, h)
	route := pipeline.Route{Slice: slice}
	info, ok := t.Slice(slice)
	if !ok {
		return route, errkind.New(errkind.NoOwner, "slice %s is not assigned yet", slice)
	}
	g, ok := t.Group(info.Group)
	if !ok {
		return route, errkind.New(errkind.NoOwner, "lease group %s of slice %s is not set up yet", info.Group, slice)
	}
	route.Targets = make([]pipeline.Target, 0, len(g.Successors)+2)
	if r.held.Holds(g.ID) {
		route.Targets = r.add(route.Targets, t, r.self)
	}
	route.Targets = r.add(route.Targets, t, g.Holder)
	for _, m := range g.Successors {
		route.Targets = r.add(route.Targets, t, m)
	}
	return route, nil
}

// add appends a member once, if its address is known.
func (r *Router) add(ts []pipeline.Target, t *ownership.Table, m ident.Member) []pipeline.Target {
	for i := range ts {
		if ts[i].Member == m {
			return ts
		}
	}
	info, ok := t.Member(m)
	if !ok || (!info.Present && m != r.self) {
		return ts
	}
	return append(ts, pipeline.Target{Member: m, Addr: info.MeshAddr, Local: m == r.self})
}

// LocatePool implements pipeline.Locator: the servers of the region first, by
// the better of two random choices.
func (r *Router) LocatePool(s config.Service, exclude []ident.Member) (pipeline.Route, error) {
	t := r.tables.Table()
	var cs []balance.Candidate
	for _, m := range t.PoolMembers(s.Pool) {
		if m.Draining || contains(exclude, m.Member) {
			continue
		}
		cs = append(cs, balance.Candidate{Member: m.Member, Region: m.Location.Region, Slots: m.Capabilities.Slots})
	}
	if len(cs) == 0 {
		return pipeline.Route{}, errkind.New(errkind.BackendUnavailable, "pool %s has no backend server", s.Pool)
	}
	r.mu.Lock()
	order := r.chooser.Order(r.clock.Now(), globalRandom{}, r.region, cs)
	r.mu.Unlock()
	route := pipeline.Route{Targets: make([]pipeline.Target, 0, len(order))}
	for _, c := range order {
		route.Targets = r.add(route.Targets, t, c.Member)
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

// globalRandom is the process's random source.
type globalRandom struct{}

// IntN returns a number below n.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

func (r *Router) sent(m ident.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordSent(m)
}

func (r *Router) ended(m ident.Member, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordEnd(r.clock.Now(), m, err != nil && unreachable(errkind.Of(err)))
}

// unreachable reports whether an error says that a daemon or its server is out
// of reach, rather than busy.
func unreachable(k errkind.Kind) bool {
	switch k {
	case errkind.PeerUnreachable, errkind.OutcomeUnknown, errkind.BackendUnavailable, errkind.DeadlineAfterStart:
		return true
	default:
		return false
	}
}

// ForgetAbsentMembers drops what was observed of members that have left.
func (r *Router) ForgetAbsentMembers() {
	t := r.tables.Table()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.Retain(func(m ident.Member) bool {
		info, ok := t.Member(m)
		return ok && info.Present
	})
}
