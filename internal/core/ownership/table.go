package ownership

import (
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// MemberInfo is the information about one member that the control stream contains.
type MemberInfo struct {
	Member       ident.Member        `codec:"m"`
	Location     ident.Location      `codec:"l"`
	MeshAddr     string              `codec:"ma"` // host:port for other daemons
	CallerAddr   string              `codec:"ca"` // host:port for callers
	AdminAddr    string              `codec:"aa"` // host:port for operators
	PublicKey    []byte              `codec:"pk"` // Ed25519 key that signs the member's usage statements
	Pool         ident.Pool          `codec:"p"`  // empty if the member serves no backend server
	Draining     bool                `codec:"d"`
	Capabilities record.Capabilities `codec:"c"`
	Present      bool                `codec:"in"` // has joined and has neither left nor been replaced
	LostGroup    bool                `codec:"lg"` // another member claimed its lease group, which has been removed since
}

// SliceInfo is the recorded ownership of one slice. A zero Group means that the
// slice has never been assigned.
type SliceInfo struct {
	Slice      ident.Slice
	Group      ident.Member
	Assignment ident.Assignment
}

// Table is an immutable view of a State at one offset. All methods are safe for
// concurrent use. Callers must not modify the returned slices.
type Table struct {
	nextOffset       ident.Offset
	term             ident.Term
	leader           ident.Member
	lastLeaderOffset ident.Offset
	shared           *sharedState
}

// NextOffset returns the smallest offset that the table does not include.
func (t *Table) NextOffset() ident.Offset { return t.nextOffset }

// SameState reports whether two tables of one process have the same members,
// groups, slices and configuration; their offsets and leaders may differ. It does
// not compare contents and may return false for equal ones.
func (t *Table) SameState(o *Table) bool { return o != nil && t.shared == o.shared }

// Leader returns the leader and the current term. The term is zero before the first
// election.
func (t *Table) Leader() (ident.Member, ident.Term) { return t.leader, t.term }

// LastLeaderOffset returns the offset of the last record that the current leader
// wrote in its term.
func (t *Table) LastLeaderOffset() ident.Offset { return t.lastLeaderOffset }

// Config returns the configuration in force.
func (t *Table) Config() ConfigView { return t.shared.config }

// Member returns the information about m, whether m is present or not.
func (t *Table) Member(m ident.Member) (MemberInfo, bool) {
	info, ok := t.shared.members.get(m)
	if !ok {
		return MemberInfo{}, false
	}
	return *info, true
}

// Members returns the present members in the order of CompareMembers.
func (t *Table) Members() []MemberInfo { return t.shared.memberLists().present }

// MemberByHost returns the latest incarnation on host h, present or not.
func (t *Table) MemberByHost(h ident.Host) (MemberInfo, bool) {
	m, ok := t.shared.memberByHost.get(h)
	if !ok {
		return MemberInfo{}, false
	}
	return t.Member(m)
}

// PoolMembers returns the present members that serve pool p, in the order of
// CompareMembers.
func (t *Table) PoolMembers(p ident.Pool) []MemberInfo { return t.shared.memberLists().byPool[p] }

// Group returns the lease group whose first holder is id.
func (t *Table) Group(id ident.Member) (lease.Group, bool) {
	g, ok := t.shared.groups.get(id)
	if !ok {
		return lease.Group{}, false
	}
	return *g, true
}

// Groups returns all lease groups in the order of their IDs.
func (t *Table) Groups() []lease.Group { return t.shared.sortedGroups() }

// Slice returns the recorded ownership of a slice.
func (t *Table) Slice(s ident.Slice) (SliceInfo, bool) {
	service := t.shared.services[s.Service]
	if service == nil {
		return SliceInfo{}, false
	}
	e, ok := service.get(s.Index)
	if !ok {
		return SliceInfo{}, false
	}
	return SliceInfo{Slice: s, Group: e.group, Assignment: e.assignment}, true
}

// SliceFor returns the slice that contains the key with hash h: the slice of the
// hot key if there is one, otherwise the hash range.
func (t *Table) SliceFor(svc config.Service, h ident.KeyHash) ident.Slice {
	if service := t.shared.services[svc.Name]; service != nil {
		return ident.Slice{Service: svc.Name, Index: service.indexFor(h)}
	}
	return ident.Slice{Service: svc.Name, Index: rangeIndex(h, svc.Slices)}
}

// HotKey returns the key hash of a slice that contains a single hot key. It returns
// false for other slices.
func (t *Table) HotKey(s ident.Slice) (ident.KeyHash, bool) {
	service := t.shared.services[s.Service]
	if service == nil {
		return 0, false
	}
	h, ok := service.hotKeys[s.Index]
	return h.key, ok
}

// SliceCount returns the number of slices in a lease group.
func (t *Table) SliceCount(group ident.Member) int {
	groupSlices, _ := t.shared.slicesByGroup.get(group)
	return len(groupSlices)
}

// GroupSlices returns the slices in a lease group, sorted by service and index.
func (t *Table) GroupSlices(group ident.Member) []SliceInfo {
	groupSlices, _ := t.shared.slicesByGroup.get(group)
	out := make([]SliceInfo, 0, len(groupSlices))
	for _, s := range groupSlices {
		info, _ := t.Slice(s)
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b SliceInfo) int { return compareSlices(a.Slice, b.Slice) })
	return out
}

// Unassigned returns the slices of keyed services that are in no lease group,
// sorted by service and index.
func (t *Table) Unassigned() []ident.Slice {
	var out []ident.Slice
	for _, name := range t.shared.serviceNames() {
		service := t.shared.services[name]
		if service.unassignedRanges == 0 {
			continue
		}
		service.each(func(i uint32, e sliceEntry) {
			if e.group.IsZero() {
				out = append(out, ident.Slice{Service: name, Index: i})
			}
		})
	}
	return out
}

// UnassignedCount returns the number of hash ranges of a service that are in no
// lease group.
func (t *Table) UnassignedCount(name ident.Service) int {
	if service := t.shared.services[name]; service != nil {
		return service.unassignedRanges
	}
	return 0
}

// EachSlice calls f for every slice of a service in ascending order of the index.
func (t *Table) EachSlice(name ident.Service, f func(SliceInfo)) {
	service := t.shared.services[name]
	if service == nil {
		return
	}
	service.each(func(i uint32, e sliceEntry) {
		f(SliceInfo{Slice: ident.Slice{Service: name, Index: i}, Group: e.group, Assignment: e.assignment})
	})
}

// compareSlices orders slices by service, then by index.
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
