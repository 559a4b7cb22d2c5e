package ownership

import (
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// MemberInfo is what the log tells about one member.
type MemberInfo struct {
	Member       ident.Member        `codec:"m"`
	Location     ident.Location      `codec:"l"`
	MeshAddr     string              `codec:"ma"` // host:port for daemons
	CallerAddr   string              `codec:"ca"` // host:port for callers
	AdminAddr    string              `codec:"aa"` // host:port for operators
	PublicKey    []byte              `codec:"pk"` // Ed25519
	Pool         ident.Pool          `codec:"p"`
	Draining     bool                `codec:"d"`
	Capabilities record.Capabilities `codec:"c"`
	Present      bool                `codec:"in"` // joined, and neither left nor replaced
	LostGroup    bool                `codec:"lg"` // its lease group was claimed by another and is gone
}

// SliceInfo is the recorded ownership of one slice. A zero Group means that the
// slice was never assigned.
type SliceInfo struct {
	Slice      ident.Slice
	Group      ident.Member
	Assignment ident.Assignment
}

// Table is an immutable view of the folded state at an offset. All methods are
// safe for concurrent use; returned slices must not be changed.
type Table struct {
	next       ident.Offset
	term       ident.Term
	leader     ident.Member
	leaderSeen ident.Offset
	body       *body
}

// NextOffset returns the offset of the first record that is not in the table.
func (t *Table) NextOffset() ident.Offset { return t.next }

// SameState reports whether two tables of one process hold the same members,
// groups, slices and configuration; they may differ in the offset and the leader.
// It compares no content: false may be returned for equal states.
func (t *Table) SameState(o *Table) bool { return o != nil && t.body == o.body }

// Leader returns the leader of the current term; the term is zero before the
// first election.
func (t *Table) Leader() (ident.Member, ident.Term) { return t.leader, t.term }

// LastLeaderOffset returns the offset of the last record of the current leader.
func (t *Table) LastLeaderOffset() ident.Offset { return t.leaderSeen }

// Config returns the configuration in force.
func (t *Table) Config() ConfigView { return t.body.view }

// Member returns what is known about m, present or not.
func (t *Table) Member(m ident.Member) (MemberInfo, bool) {
	info, ok := t.body.members.get(m)
	if !ok {
		return MemberInfo{}, false
	}
	return *info, true
}

// Members returns the present members in order.
func (t *Table) Members() []MemberInfo { return t.body.memberList().present }

// MemberByHost returns the latest incarnation on host h.
func (t *Table) MemberByHost(h ident.Host) (MemberInfo, bool) {
	m, ok := t.body.hosts.get(h)
	if !ok {
		return MemberInfo{}, false
	}
	return t.Member(m)
}

// PoolMembers returns the present members that serve pool p, in order.
func (t *Table) PoolMembers(p ident.Pool) []MemberInfo { return t.body.memberList().byPool[p] }

// Group returns the lease group named by its first holder.
func (t *Table) Group(id ident.Member) (lease.Group, bool) {
	g, ok := t.body.groups.get(id)
	if !ok {
		return lease.Group{}, false
	}
	return *g, true
}

// Groups returns all lease groups in the order of their first holders.
func (t *Table) Groups() []lease.Group { return t.body.groupList() }

// Slice returns the recorded ownership of a slice.
func (t *Table) Slice(s ident.Slice) (SliceInfo, bool) {
	service := t.body.services[s.Service]
	if service == nil {
		return SliceInfo{}, false
	}
	c, ok := service.get(s.Index)
	if !ok {
		return SliceInfo{}, false
	}
	return SliceInfo{Slice: s, Group: c.group, Assignment: c.assignment}, true
}

// SliceFor returns the slice that contains a key: the slice of the hot key if
// there is one, else the hash range.
func (t *Table) SliceFor(svc config.Service, h ident.KeyHash) ident.Slice {
	if service := t.body.services[svc.Name]; service != nil {
		return ident.Slice{Service: svc.Name, Index: service.index(h)}
	}
	return ident.Slice{Service: svc.Name, Index: rangeIndex(h, svc.Slices)}
}

// HotKey returns the key of a slice that holds a single hot key.
func (t *Table) HotKey(s ident.Slice) (ident.KeyHash, bool) {
	service := t.body.services[s.Service]
	if service == nil {
		return 0, false
	}
	h, ok := service.hot[s.Index]
	return h.key, ok
}

// SliceCount returns the number of slices in a lease group.
func (t *Table) SliceCount(group ident.Member) int {
	held, _ := t.body.held.get(group)
	return len(held)
}

// GroupSlices returns the slices in a lease group, in order.
func (t *Table) GroupSlices(group ident.Member) []SliceInfo {
	held, _ := t.body.held.get(group)
	out := make([]SliceInfo, 0, len(held))
	for _, s := range held {
		info, _ := t.Slice(s)
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b SliceInfo) int { return compareSlices(a.Slice, b.Slice) })
	return out
}

// Unassigned returns the slices of keyed services that are in no lease group,
// in order.
func (t *Table) Unassigned() []ident.Slice {
	var out []ident.Slice
	for _, name := range t.body.serviceNames() {
		service := t.body.services[name]
		if service.unassigned == 0 {
			continue
		}
		service.each(func(i uint32, c cell) {
			if c.group.IsZero() {
				out = append(out, ident.Slice{Service: name, Index: i})
			}
		})
	}
	return out
}

// UnassignedCount returns the number of hash ranges of a service that are in no
// lease group.
func (t *Table) UnassignedCount(name ident.Service) int {
	if service := t.body.services[name]; service != nil {
		return service.unassigned
	}
	return 0
}

// EachSlice calls f for every slice of a service in order of the index.
func (t *Table) EachSlice(name ident.Service, f func(SliceInfo)) {
	service := t.body.services[name]
	if service == nil {
		return
	}
	service.each(func(i uint32, c cell) {
		f(SliceInfo{Slice: ident.Slice{Service: name, Index: i}, Group: c.group, Assignment: c.assignment})
	})
}

func compareSlices(a, b ident.Slice) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	return int(int64(a.Index) - int64(b.Index))
}

// CompareMembers orders members by host, then by incarnation.
func CompareMembers(a, b ident.Member) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	default:
		return 0
	}
}
