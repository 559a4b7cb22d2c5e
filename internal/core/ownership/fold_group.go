package ownership

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Limits of one lease group.
const (
	MaxWitnesses        = 9
	MaxSuccessors       = 16
	maxFormerSuccessors = 16 // successors of earlier versions that are remembered
)

// foldGroupSet creates a lease group or changes its witnesses and successors.
// A member whose group was removed never gets another one, because the claims of
// a new group would start again at 1.
func (s *State) foldGroupSet(off ident.Offset, writer ident.Member, b *record.GroupSet) Outcome {
	if !validWitnesses(b.Witnesses) || len(b.Successors) > MaxSuccessors || !allDistinct(b.Successors) {
		return Invalid
	}
	if !s.acceptLeader(off, writer, b.Term) || !s.allKnown(b.Witnesses) || !s.allKnown(b.Successors) {
		return Stale
	}
	g, ok := s.shared.groups.get(b.Group)
	if !ok {
		return s.createGroup(b)
	}
	if b.Version != g.Version+1 {
		return Stale
	}
	s.rememberFormerSuccessors(g, b.Successors)
	next := *g
	next.Version = b.Version
	next.Witnesses = s.internAll(b.Witnesses)
	next.Successors = s.internAll(b.Successors)
	s.setGroup(&next)
	return Folded
}

// createGroup creates version 1 of the lease group of a present member, which
// becomes the holder with claim 1.
func (s *State) createGroup(b *record.GroupSet) Outcome {
	info, ok := s.shared.members.get(b.Group)
	if b.Version != 1 || !ok || !info.Present || info.LostGroup {
		return Stale
	}
	id := info.Member
	s.setGroup(&lease.Group{
		ID:         id,
		Version:    1,
		Witnesses:  s.internAll(b.Witnesses),
		Successors: s.internAll(b.Successors),
		Claim:      1,
		Holder:     id,
	})
	return Folded
}

// foldClaimed records the takeover of a lease group. The claimant may also be a
// former successor, which may have obtained the lease before it learned that the
// current version of the group no longer lists it.
func (s *State) foldClaimed(off ident.Offset, writer ident.Member, b *record.GroupClaimed) Outcome {
	if writer != b.Claimant {
		return Invalid
	}
	g, ok := s.shared.groups.get(b.Group)
	if !ok || b.Claim <= g.Claim {
		return Stale
	}
	if !mayMoveSlicesOut(g, writer) && !slices.Contains(s.writers[b.Group].formerSuccessors, writer) {
		return Stale
	}
	next := *g
	next.Claim = b.Claim
	next.Holder = s.intern(writer)
	s.setGroup(&next)
	s.removeGroupIfUnused(off, g.ID)
	return Folded
}

// mayMoveSlicesOut reports whether m may move slices out of g, that is, whether m
// is the recorded holder of g or one of its successors.
func mayMoveSlicesOut(g *lease.Group, m ident.Member) bool {
	return g.Holder == m || slices.Contains(g.Successors, m)
}

// rememberFormerSuccessors remembers the successors of g that are not in next,
// the successors of its next version. It keeps the latest maxFormerSuccessors.
func (s *State) rememberFormerSuccessors(g *lease.Group, next []ident.Member) {
	w := s.writers[g.ID]
	for _, m := range g.Successors {
		if slices.Contains(next, m) || slices.Contains(w.formerSuccessors, m) {
			continue
		}
		w.formerSuccessors = append(w.formerSuccessors, m)
	}
	if extra := len(w.formerSuccessors) - maxFormerSuccessors; extra > 0 {
		w.formerSuccessors = slices.Clone(w.formerSuccessors[extra:])
	}
}

// setGroup stores g under its ID and discards the group index.
func (s *State) setGroup(g *lease.Group) {
	s.invalidateFrozen()
	s.shared.groups.set(s.generation, g.ID, g)
	s.shared.groupIndex = &groupIndex{}
}

// removeGroupIfUnused removes the lease group id if it has no slices and its
// first holder is absent or no longer holds it. A first holder that is still
// present gets the LostGroup flag.
func (s *State) removeGroupIfUnused(off ident.Offset, id ident.Member) {
	g, ok := s.shared.groups.get(id)
	if !ok || (g.Holder == id && s.isPresent(id)) {
		return
	}
	if groupSlices, _ := s.shared.slicesByGroup.get(id); len(groupSlices) > 0 {
		return
	}
	s.invalidateFrozen()
	s.shared.groups.remove(s.generation, id)
	s.shared.slicesByGroup.remove(s.generation, id)
	s.shared.groupIndex = &groupIndex{}
	s.writers[id].formerSuccessors = nil
	if info, _ := s.shared.members.get(id); info.Present {
		lost := *info
		lost.LostGroup = true
		s.setMember(lost)
	}
	s.queueForgetting(off, id)
}

// allKnown reports whether the state has an entry for each of the members,
// present or not.
func (s *State) allKnown(members []ident.Member) bool {
	for _, m := range members {
		if _, ok := s.shared.members.get(m); !ok {
			return false
		}
	}
	return true
}

// internAll applies intern to each of the members.
func (s *State) internAll(members []ident.Member) []ident.Member {
	out := make([]ident.Member, len(members))
	for i, m := range members {
		out[i] = s.intern(m)
	}
	return out
}

// validWitnesses reports whether w is an odd number of distinct members, at most
// MaxWitnesses.
func validWitnesses(w []ident.Member) bool {
	return len(w)%2 == 1 && len(w) <= MaxWitnesses && allDistinct(w)
}

func allDistinct(members []ident.Member) bool {
	for i, m := range members {
		if slices.Contains(members[:i], m) {
			return false
		}
	}
	return true
}
