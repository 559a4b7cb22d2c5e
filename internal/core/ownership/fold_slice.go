package ownership

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// The bounds of one record and of one service.
const (
	MaxMoves   = 4096
	MaxHotKeys = 4096
)

// foldAssigned moves slices into a group: unassigned ones by the leader, others
// by consent of their group. It folds if at least one move does.
func (s *State) foldAssigned(off ident.Offset, w ident.Member, b *record.Assigned) Outcome {
	if len(b.Moves) == 0 || len(b.Moves) > MaxMoves {
		return Invalid
	}
	byLeader := b.Term != 0
	if byLeader && !s.leads(off, w, b.Term) {
		return Stale
	}
	to, ok := s.cur.groups.get(b.To)
	if !ok {
		return Stale
	}
	outcome := Stale
	for _, mv := range b.Moves {
		if s.move(off, w, byLeader, mv, to.ID) {
			outcome = Folded
		}
	}
	return outcome
}

func (s *State) move(off ident.Offset, w ident.Member, byLeader bool, mv record.Move, to ident.Member) bool {
	service := s.cur.services[mv.Slice.Service]
	if service == nil {
		return false
	}
	c, ok := service.get(mv.Slice.Index)
	if !ok || c.assignment != mv.PriorAssignment || c.group == to {
		return false
	}
	if !s.mayMove(c, w, byLeader) {
		return false
	}
	s.setCell(mv.Slice, cell{group: to, assignment: c.assignment + 1})
	if !c.group.IsZero() {
		s.unhold(off, c.group, mv.Slice)
	}
	return true
}

func (s *State) mayMove(c cell, w ident.Member, byLeader bool) bool {
	if byLeader {
		return c.group.IsZero()
	}
	from, ok := s.cur.groups.get(c.group)
	return ok && mayGive(from, w)
}

// foldHotKey creates or removes the slice of a hot key. It is removed only while
// it is in the group of its hash range, so that neither changes an owner.
func (s *State) foldHotKey(off ident.Offset, w ident.Member, b *record.HotKeySet) Outcome {
	if !s.leads(off, w, b.Term) {
		return Stale
	}
	service := s.cur.services[b.Service]
	if service == nil {
		return Stale
	}
	around, _ := service.get(rangeIndex(b.Key, service.count))
	if b.Remove {
		return s.removeHotKey(off, service, b, around)
	}
	if b.Index < service.count {
		return Invalid
	}
	_, indexUsed := service.hot[b.Index]
	_, keyUsed := service.hotIndex[b.Key]
	if indexUsed || keyUsed || around.group.IsZero() || len(service.hot) >= MaxHotKeys {
		return Stale
	}
	service = s.writableService(b.Service)
	service.setHot(b.Index, hotCell{key: b.Key})
	slice := ident.Slice{Service: b.Service, Index: b.Index}
	s.setCell(slice, cell{group: around.group, assignment: s.floor + 1})
	return Folded
}

func (s *State) removeHotKey(off ident.Offset, service *serviceTable, b *record.HotKeySet, around cell) Outcome {
	hot, ok := service.hot[b.Index]
	if !ok || hot.key != b.Key || hot.group != around.group {
		return Stale
	}
	s.floor = max(s.floor, hot.assignment)
	s.writableService(b.Service).removeHot(b.Index)
	s.unhold(off, hot.group, ident.Slice{Service: b.Service, Index: b.Index})
	return Folded
}

func (s *State) foldConfig(off ident.Offset, b *record.ConfigChanged) Outcome {
	if !s.cfg.Apply(b.Change) {
		return Rejected
	}
	s.syncServices(off)
	return Folded
}

// syncServices makes the slice tables match the keyed services in force. The
// slices of a removed service disappear; floor keeps their assignments from
// being given again.
func (s *State) syncServices(off ident.Offset) {
	s.changed()
	s.cur.view = s.cfg.InForce()
	for _, name := range s.cur.serviceNames() {
		svc, ok := s.cur.view.Service(name)
		if !ok || !keyed(svc) || svc.Slices != s.cur.services[name].count {
			s.removeService(off, name)
		}
	}
	for _, svc := range s.cur.view.Services() {
		if keyed(svc) && s.cur.services[svc.Name] == nil {
			s.cur.services[svc.Name] = newServiceTable(s.generation, svc.Slices, s.floor)
		}
	}
}

func keyed(svc config.Service) bool {
	return svc.Mode == config.Keyed && validSliceCount(svc.Slices)
}

func (s *State) removeService(off ident.Offset, name ident.Service) {
	groups := make(map[ident.Member]struct{})
	s.cur.services[name].each(func(_ uint32, c cell) {
		s.floor = max(s.floor, c.assignment)
		if !c.group.IsZero() {
			groups[c.group] = struct{}{}
		}
	})
	delete(s.cur.services, name)
	for id := range groups {
		held, _ := s.cur.held.get(id)
		rest := slices.Clone(held)
		rest = slices.DeleteFunc(rest, func(h ident.Slice) bool { return h.Service == name })
		s.cur.held.set(s.generation, id, rest)
		s.dropIfEmpty(off, id)
	}
}

// setCell assigns a slice and adds it to the slices of its new group.
func (s *State) setCell(slice ident.Slice, c cell) {
	s.changed()
	s.writableService(slice.Service).set(slice.Index, c)
	if c.group.IsZero() {
		return
	}
	held, _ := s.cur.held.get(c.group)
	s.cur.held.set(s.generation, c.group, append(held, slice))
}

// unhold removes a slice from the slices of a group that it left.
func (s *State) unhold(off ident.Offset, group ident.Member, slice ident.Slice) {
	s.changed()
	held, _ := s.cur.held.get(group)
	i := slices.Index(held, slice)
	rest := make([]ident.Slice, 0, len(held)-1)
	rest = append(append(rest, held[:i]...), held[i+1:]...)
	s.cur.held.set(s.generation, group, rest)
	s.dropIfEmpty(off, group)
}

func (s *State) writableService(name ident.Service) *serviceTable {
	s.changed()
	t := s.cur.services[name].writable(s.generation)
	s.cur.services[name] = t
	return t
}
