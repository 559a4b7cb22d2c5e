package ownership

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Limits of one record and of one service.
const (
	MaxMoves   = 4096 // moves in one Assigned record
	MaxHotKeys = 4096 // hot keys of one service
)

// foldAssigned moves slices into a lease group. The leader may move unassigned
// slices; other slices move only by consent, that is, if the holder or a successor
// of their current group wrote the record. The record folds if at least one of
// its moves takes effect.
func (s *State) foldAssigned(off ident.Offset, writer ident.Member, b *record.Assigned) Outcome {
	if len(b.Moves) == 0 || len(b.Moves) > MaxMoves {
		return Invalid
	}
	byLeader := b.Term != 0
	if byLeader && !s.acceptLeader(off, writer, b.Term) {
		return Stale
	}
	to, ok := s.shared.groups.get(b.To)
	if !ok {
		return Stale
	}
	outcome := Stale
	for _, move := range b.Moves {
		if s.moveSlice(off, writer, byLeader, move, to.ID) {
			outcome = Folded
		}
	}
	return outcome
}

// moveSlice applies one move of an Assigned record and reports whether it took
// effect. A move is void if the slice has been assigned again since the move was
// planned.
func (s *State) moveSlice(off ident.Offset, writer ident.Member, byLeader bool, move record.Move, to ident.Member) bool {
	service := s.shared.services[move.Slice.Service]
	if service == nil {
		return false
	}
	e, ok := service.get(move.Slice.Index)
	if !ok || e.assignment != move.PriorAssignment || e.group == to {
		return false
	}
	if !s.mayMoveSlice(e, writer, byLeader) {
		return false
	}
	s.setSlice(move.Slice, sliceEntry{group: to, assignment: e.assignment + 1})
	if !e.group.IsZero() {
		s.removeFromGroup(off, e.group, move.Slice)
	}
	return true
}

// mayMoveSlice reports whether writer may move the slice of e: the leader if the
// slice is unassigned, otherwise the holder or a successor of its group.
func (s *State) mayMoveSlice(e sliceEntry, writer ident.Member, byLeader bool) bool {
	if byLeader {
		return e.group.IsZero()
	}
	from, ok := s.shared.groups.get(e.group)
	return ok && mayMoveSlicesOut(from, writer)
}

// foldHotKey creates or removes the slice of a hot key. A new slice starts in the
// lease group of the hash range that contains the key, and a slice is removed only
// while it is in that group. Neither operation therefore changes the owner of the
// key.
func (s *State) foldHotKey(off ident.Offset, writer ident.Member, b *record.HotKeySet) Outcome {
	if !s.acceptLeader(off, writer, b.Term) {
		return Stale
	}
	service := s.shared.services[b.Service]
	if service == nil {
		return Stale
	}
	rangeEntry, _ := service.get(rangeIndex(b.Key, service.rangeCount))
	if b.Remove {
		return s.removeHotKey(off, service, b, rangeEntry)
	}
	if b.Index < service.rangeCount {
		return Invalid
	}
	_, indexUsed := service.hotKeys[b.Index]
	_, keyUsed := service.hotKeyIndex[b.Key]
	if indexUsed || keyUsed || rangeEntry.group.IsZero() || len(service.hotKeys) >= MaxHotKeys {
		return Stale
	}
	service = s.writableService(b.Service)
	service.setHotKey(b.Index, hotKeyEntry{key: b.Key})
	slice := ident.Slice{Service: b.Service, Index: b.Index}
	s.setSlice(slice, sliceEntry{group: rangeEntry.group, assignment: s.assignmentFloor + 1})
	return Folded
}

// removeHotKey removes the slice of a hot key whose hash range has the ownership
// rangeEntry.
func (s *State) removeHotKey(off ident.Offset, service *serviceTable, b *record.HotKeySet, rangeEntry sliceEntry) Outcome {
	hot, ok := service.hotKeys[b.Index]
	if !ok || hot.key != b.Key || hot.group != rangeEntry.group {
		return Stale
	}
	s.assignmentFloor = max(s.assignmentFloor, hot.assignment)
	s.writableService(b.Service).removeHotKey(b.Index)
	s.removeFromGroup(off, hot.group, ident.Slice{Service: b.Service, Index: b.Index})
	return Folded
}

// foldConfig applies a configuration change and updates the services if the change
// took effect.
func (s *State) foldConfig(off ident.Offset, b *record.ConfigChanged) Outcome {
	if !s.cfg.Apply(b.Change) {
		return Rejected
	}
	s.syncServices(off)
	return Folded
}

// syncServices makes the service tables match the keyed services of the
// configuration in force. A service whose number of slices changed starts again
// with unassigned slices. The slices of a removed service disappear;
// assignmentFloor ensures that their assignment numbers are not used again.
func (s *State) syncServices(off ident.Offset) {
	s.invalidateFrozen()
	s.shared.config = s.cfg.InForce()
	for _, name := range s.shared.serviceNames() {
		svc, ok := s.shared.config.Service(name)
		if !ok || !isKeyed(svc) || svc.Slices != s.shared.services[name].rangeCount {
			s.removeService(off, name)
		}
	}
	for _, svc := range s.shared.config.Services() {
		if isKeyed(svc) && s.shared.services[svc.Name] == nil {
			s.shared.services[svc.Name] = newServiceTable(s.generation, svc.Slices, s.assignmentFloor)
		}
	}
}

// isKeyed reports whether svc is a keyed service with a valid number of slices.
func isKeyed(svc config.Service) bool {
	return svc.Mode == config.Keyed && validSliceCount(svc.Slices)
}

// removeService removes a service and its slices. It raises assignmentFloor to the
// greatest assignment of these slices.
func (s *State) removeService(off ident.Offset, name ident.Service) {
	groups := make(map[ident.Member]struct{})
	s.shared.services[name].each(func(_ uint32, e sliceEntry) {
		s.assignmentFloor = max(s.assignmentFloor, e.assignment)
		if !e.group.IsZero() {
			groups[e.group] = struct{}{}
		}
	})
	delete(s.shared.services, name)
	for id := range groups {
		groupSlices, _ := s.shared.slicesByGroup.get(id)
		rest := slices.Clone(groupSlices)
		rest = slices.DeleteFunc(rest, func(s ident.Slice) bool { return s.Service == name })
		s.shared.slicesByGroup.set(s.generation, id, rest)
		s.removeGroupIfUnused(off, id)
	}
}

// setSlice stores the ownership of a slice and adds the slice to its new group.
// The append may write to an array that frozen copies share, but only beyond the
// length that they see.
func (s *State) setSlice(slice ident.Slice, e sliceEntry) {
	s.invalidateFrozen()
	s.writableService(slice.Service).set(slice.Index, e)
	if e.group.IsZero() {
		return
	}
	groupSlices, _ := s.shared.slicesByGroup.get(e.group)
	s.shared.slicesByGroup.set(s.generation, e.group, append(groupSlices, slice))
}

// removeFromGroup removes a slice from the slices of its previous group. It copies
// the list, which frozen copies may share.
func (s *State) removeFromGroup(off ident.Offset, group ident.Member, slice ident.Slice) {
	s.invalidateFrozen()
	groupSlices, _ := s.shared.slicesByGroup.get(group)
	i := slices.Index(groupSlices, slice)
	rest := make([]ident.Slice, 0, len(groupSlices)-1)
	rest = append(append(rest, groupSlices[:i]...), groupSlices[i+1:]...)
	s.shared.slicesByGroup.set(s.generation, group, rest)
	s.removeGroupIfUnused(off, group)
}

// writableService returns the table of a service that the current generation may
// modify.
func (s *State) writableService(name ident.Service) *serviceTable {
	s.invalidateFrozen()
	t := s.shared.services[name].writable(s.generation)
	s.shared.services[name] = t
	return t
}
