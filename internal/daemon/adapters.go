package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/leasing"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// leaseTable shows the follower's table to the lease controller.
type leaseTable struct{ f *control.Follower }

func (t leaseTable) Position() ident.Offset { return t.f.Table().NextOffset() }

func (t leaseTable) Groups() []lease.Group { return t.f.Table().Groups() }

func (t leaseTable) Group(id ident.Member) (lease.Group, bool) { return t.f.Table().Group(id) }

func (t leaseTable) Slice(s ident.Slice) (leasing.SliceInfo, bool) {
	info, ok := t.f.Table().Slice(s)
	return leasing.SliceInfo(info), ok
}

func (t leaseTable) GroupSlices(group ident.Member) []leasing.SliceInfo {
	infos := t.f.Table().GroupSlices(group)
	out := make([]leasing.SliceInfo, len(infos))
	for i, info := range infos {
		out[i] = leasing.SliceInfo(info)
	}
	return out
}

// sliceGrants sends grants to the backend server. A server that does not check
// grants is not asked: the daemon's own check guards it.
type sliceGrants struct {
	orders   *backend.CommandSender
	registry *backend.Registry
}

func (g sliceGrants) Grant(ctx context.Context, grants []leasing.SliceGrant, ttl time.Duration) error {
	if reg, ok := g.registry.Current(); ok && !reg.Announcement.ChecksGrants {
		return nil
	}
	out := make([]backend.SliceGrant, len(grants))
	for i, s := range grants {
		out[i] = backend.SliceGrant{Service: s.Slice.Service, Index: s.Slice.Index, Epoch: s.Epoch}
	}
	return g.orders.Grant(ctx, out, ttl)
}

// ChecksGrants implements pipeline.BackendCapabilities.
func (g sliceGrants) ChecksGrants() bool {
	reg, ok := g.registry.Current()
	return ok && reg.Announcement.ChecksGrants
}

// movePlan proposes the moves out of the groups held here that the table asks
// for. It is safe for concurrent use.
type movePlan struct {
	f      *control.Follower
	held   *heldGroups
	budget int // moves at a time out of one group

	mu      sync.Mutex       // guards all below
	last    *ownership.Table // for which nothing was due
	lastFor []ident.Member   // groups held then
}

// PlannedMoves returns nothing without a search while neither the state nor the groups
// held here have changed since nothing was due.
func (p *movePlan) PlannedMoves() []leasing.PlannedMove {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.f.Table()
	groups := p.held.groups(t)
	if t.SameState(p.last) && slices.Equal(groups, p.lastFor) {
		return nil
	}
	moves := placement.PlanMovesFrom(t, p.budget, groups)
	out := make([]leasing.PlannedMove, 0, len(moves))
	for _, m := range moves {
		if slices.Contains(groups, m.From) {
			out = append(out, leasing.PlannedMove{Slice: m.Slice, From: m.From, To: m.To, PriorAssignment: m.PriorAssignment})
		}
	}
	p.last = nil
	if len(out) == 0 {
		p.last, p.lastFor = t, groups
	}
	return out
}

// controlMessages passes the messages of peers to the lease controller.
type controlMessages struct{ leases *leasing.Controller }

func (c controlMessages) HandleControl(from ident.Member, m mesh.Message) {
	c.leases.HandleMessage(from, m)
}

// heldGroups tells the router which groups are held here. The controller is set
// before the first request.
type heldGroups struct{ leases *leasing.Controller }

// Holds implements routing.HeldGroups.
func (h *heldGroups) Holds(group ident.Member) bool { return h.leases.ServesGroup(group) }

// groups returns the groups of the table that are held here, sorted.
func (h *heldGroups) groups(t *ownership.Table) []ident.Member {
	var out []ident.Member
	for _, id := range h.leases.HeldGroups() {
		if _, ok := t.Group(id); ok {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, ownership.CompareMembers)
	return out
}
