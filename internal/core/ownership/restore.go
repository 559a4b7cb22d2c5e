package ownership

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Restore decodes a state that State.Snapshot encoded. It replaces the content of
// cfg, which the returned state then owns. The fold continues at
// State.NextOffset, which is also the NextOffset of the snapshot's chunks. All
// errors wrap ErrSnapshot.
func Restore(cfg ConfigState, data []byte) (*State, error) {
	var in snapshot
	if err := codec.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if in.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: unknown version %d", ErrSnapshot, in.Version)
	}
	if err := cfg.Import(in.Config); err != nil {
		return nil, fmt.Errorf("%w: configuration: %w", ErrSnapshot, err)
	}
	s := &State{
		cfg:              cfg,
		nextOffset:       in.NextOffset,
		term:             in.Term,
		leader:           in.Leader,
		lastLeaderOffset: in.LastLeaderOffset,
		assignmentFloor:  in.AssignmentFloor,
		writers:          make(map[ident.Member]*writerState, len(in.Members)),
		shared:           newSharedState(cfg.InForce()),
		generation:       1,
	}
	s.importMembers(in.Members)
	if err := s.importGroups(&in); err != nil {
		return nil, err
	}
	for i := range in.Services {
		if err := s.importService(&in, &in.Services[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// importMembers restores the members, the latest incarnation of each host and
// forgetQueue.
func (s *State) importMembers(members []memberSnapshot) {
	for i := range members {
		in := &members[i]
		m := in.Info.Member
		info := in.Info
		s.shared.members.set(s.generation, m, &info)
		s.writers[m] = &writerState{lastSeq: in.LastSeq, formerSuccessors: in.FormerSuccessors, forgettable: in.Forgettable, forgettableSince: in.ForgettableSince}
		if latest, ok := s.shared.memberByHost.get(m.Host); !ok || latest.Less(m) {
			s.shared.memberByHost.set(s.generation, m.Host, m)
		}
		if in.Forgettable {
			s.forgetQueue = append(s.forgetQueue, forgettableMember{since: in.ForgettableSince, member: m})
		}
	}
	slices.SortFunc(s.forgetQueue, func(a, b forgettableMember) int { return cmp.Compare(a.since, b.since) })
}

// importGroups restores the lease groups. The members must have been imported.
func (s *State) importGroups(in *snapshot) error {
	for i := range in.Groups {
		g := in.Groups[i]
		if s.writers[g.ID] == nil {
			return fmt.Errorf("%w: lease group %s has no member", ErrSnapshot, g.ID)
		}
		g.ID = s.intern(g.ID)
		g.Holder = s.intern(g.Holder)
		g.Witnesses = s.internAll(g.Witnesses)
		g.Successors = s.internAll(g.Successors)
		s.shared.groups.set(s.generation, g.ID, &g)
	}
	return nil
}

// importService restores the slices of one service. The groups must have been
// imported.
func (s *State) importService(in *snapshot, svc *serviceSnapshot) error {
	size := uint64(svc.RangeCount) + uint64(len(svc.HotKeyIndexes))
	complete := uint64(len(svc.Groups)) == size && uint64(len(svc.Assignments)) == size
	if !complete || len(svc.HotKeys) != len(svc.HotKeyIndexes) || !validSliceCount(svc.RangeCount) {
		return fmt.Errorf("%w: invalid slice lists of service %s", ErrSnapshot, svc.Name)
	}
	if s.shared.services[svc.Name] != nil {
		return fmt.Errorf("%w: duplicate service %s", ErrSnapshot, svc.Name)
	}
	t := newServiceTable(s.generation, svc.RangeCount, 0)
	s.shared.services[svc.Name] = t
	for i, key := range svc.HotKeys {
		_, twice := t.hotKeyIndex[ident.KeyHash(key)]
		if _, used := t.get(svc.HotKeyIndexes[i]); used || twice {
			return fmt.Errorf("%w: duplicate hot key or slice index of service %s", ErrSnapshot, svc.Name)
		}
		t.setHotKey(svc.HotKeyIndexes[i], hotKeyEntry{key: ident.KeyHash(key)})
	}
	for i, group := range svc.Groups {
		if int64(group) > int64(len(in.Groups)) {
			return fmt.Errorf("%w: service %s: slice at position %d has an unknown group", ErrSnapshot, svc.Name, i)
		}
		e := sliceEntry{assignment: ident.Assignment(svc.Assignments[i])}
		if group > 0 {
			e.group = s.intern(in.Groups[group-1].ID)
		}
		index := uint32(i)
		if index >= svc.RangeCount {
			index = svc.HotKeyIndexes[index-svc.RangeCount]
		}
		s.setSlice(ident.Slice{Service: svc.Name, Index: index}, e)
	}
	return nil
}
