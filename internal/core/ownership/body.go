package ownership

import (
	"maps"
	"slices"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
)

// sharedState is the part of a State that its Tables share. The State modifies
// its own copy; each Table refers to a frozen copy that never changes.
type sharedState struct {
	members       shardMap[ident.Member, *MemberInfo]
	memberByHost  shardMap[ident.Host, ident.Member] // latest incarnation
	groups        shardMap[ident.Member, *lease.Group]
	slicesByGroup shardMap[ident.Member, []ident.Slice] // unordered
	services      map[ident.Service]*serviceTable
	config        ConfigView

	memberIndex *memberIndex // replaced when a member changes
	groupIndex  *groupIndex  // replaced when a group changes
}

// memberIndex holds the sorted lists of present members. The first reader builds
// it.
type memberIndex struct {
	once    sync.Once
	present []MemberInfo
	byPool  map[ident.Pool][]MemberInfo
}

// groupIndex holds the sorted list of lease groups. The first reader builds it.
type groupIndex struct {
	once   sync.Once
	groups []lease.Group
}

func newSharedState(view ConfigView) sharedState {
	return sharedState{
		members:       newShardMap[ident.Member, *MemberInfo](hashMember),
		memberByHost:  newShardMap[ident.Host, ident.Member](hashHost),
		groups:        newShardMap[ident.Member, *lease.Group](hashMember),
		slicesByGroup: newShardMap[ident.Member, []ident.Slice](hashMember),
		services:      make(map[ident.Service]*serviceTable),
		config:        view,
		memberIndex:   &memberIndex{},
		groupIndex:    &groupIndex{},
	}
}

// memberLists returns the member index and builds it on the first call.
func (s *sharedState) memberLists() *memberIndex {
	index := s.memberIndex
	index.once.Do(func() {
		index.present = make([]MemberInfo, 0, s.members.size)
		s.members.each(func(_ ident.Member, info *MemberInfo) {
			if info.Present {
				index.present = append(index.present, *info)
			}
		})
		slices.SortFunc(index.present, func(a, b MemberInfo) int { return CompareMembers(a.Member, b.Member) })
		index.byPool = make(map[ident.Pool][]MemberInfo)
		for _, info := range index.present {
			if info.Pool != "" {
				index.byPool[info.Pool] = append(index.byPool[info.Pool], info)
			}
		}
	})
	return index
}

// sortedGroups returns the lease groups in the order of their IDs and sorts them
// on the first call.
func (s *sharedState) sortedGroups() []lease.Group {
	index := s.groupIndex
	index.once.Do(func() {
		index.groups = make([]lease.Group, 0, s.groups.size)
		s.groups.each(func(_ ident.Member, g *lease.Group) { index.groups = append(index.groups, *g) })
		slices.SortFunc(index.groups, func(a, b lease.Group) int { return CompareMembers(a.ID, b.ID) })
	})
	return index.groups
}

// serviceNames returns the names of the keyed services in order.
func (s *sharedState) serviceNames() []ident.Service {
	return slices.Sorted(maps.Keys(s.services))
}
