// Package placement decides which lease group each slice belongs to. Plans are
// pure functions of the ownership table, so that every daemon computes the same
// plan from the same table and each holder carries out the moves out of the
// groups that it holds.
//
// Each service is divided among the members of its pool by quota, in proportion
// to their capacity, with largest remainders (Hamilton) that prefer the present
// holders. A member above its quota gives slices to members below theirs; no
// other slice moves. This is the bound of consistent hashing with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam, 2016) with a bound of one slice.
package placement

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// hysteresis is the part of its quota by which a member may be off before
// slices move for balance alone.
const hysteresis = 0.05

// Move is one slice to be given from one lease group to another. From is zero
// for an unassigned slice.
type Move struct {
	Slice           ident.Slice
	From            ident.Member
	To              ident.Member
	PriorAssignment ident.Assignment
}

// PlanAssignments returns groups for at most limit unassigned slices. The leader carries
// it out.
func PlanAssignments(t *ownership.Table, limit int) []Move {
	var out []Move
	for _, svc := range t.Config().Services() {
		if t.UnassignedCount(svc.Name) == 0 || len(out) >= limit {
			continue
		}
		p := planService(t, svc)
		out = append(out, p.assigned[:min(len(p.assigned), limit-len(out))]...)
	}
	return out
}

// PlanMoves returns the moves between groups that are due by the number of slices.
// At most budget moves leave one group, and at most budget moves for balance
// enter one group; moves out of groups that must be emptied go first.
func PlanMoves(t *ownership.Table, budget int) []Move {
	return moves(t, budget, everyService, func(p plan) []Move { return p.balanced })
}

// PlanMovesFrom returns the moves of the services that have slices in the given
// groups. Moves out of these groups are as by Moves, but that budgets count only
// the services looked at.
func PlanMovesFrom(t *ownership.Table, budget int, groups []ident.Member) []Move {
	held := make(map[ident.Service]bool)
	for _, g := range groups {
		for _, info := range t.GroupSlices(g) {
			held[info.Slice.Service] = true
		}
	}
	if len(held) == 0 {
		return nil
	}
	return moves(t, budget, func(s ident.Service) bool { return held[s] }, func(p plan) []Move { return p.balanced })
}

func everyService(ident.Service) bool { return true }

// moves returns the evictions of all services and then the moves for balance.
func moves(t *ownership.Table, budget int, wanted func(ident.Service) bool, balanced func(plan) []Move) []Move {
	l := ledger{budget: budget, leaving: make(map[ident.Member]int), entering: make(map[ident.Member]int)}
	var out, balance []Move
	for _, svc := range t.Config().Services() {
		if svc.Mode != config.Keyed || !wanted(svc.Name) {
			continue
		}
		p := planService(t, svc)
		for _, mv := range p.evicted {
			if l.leave(mv) {
				out = append(out, mv)
			}
		}
		balance = append(balance, balanced(p)...)
	}
	for _, mv := range balance {
		if l.pass(mv) {
			out = append(out, mv)
		}
	}
	return out
}

// ledger keeps the moves of each group within a budget.
type ledger struct {
	budget   int
	leaving  map[ident.Member]int
	entering map[ident.Member]int
}

// leave counts a move out of a group and reports whether the budget allows it.
func (l *ledger) leave(mv Move) bool {
	if l.leaving[mv.From] >= l.budget {
		return false
	}
	l.leaving[mv.From]++
	return true
}

// pass does the same for a move that the receiving group need not take now.
func (l *ledger) pass(mv Move) bool {
	if l.entering[mv.To] >= l.budget || !l.leave(mv) {
		return false
	}
	l.entering[mv.To]++
	return true
}

// plan is what is due for one service.
type plan struct {
	assigned []Move // unassigned slices
	evicted  []Move // slices of groups that must be emptied
	balanced []Move // slices of groups above their quota
	seats    []seat
}

func planService(t *ownership.Table, svc config.Service) plan {
	seats := newSeats(t, svc)
	if len(seats) == 0 {
		return plan{}
	}
	free := distribute(t, svc.Name, seats)
	setQuotas(svc.Name, seats)
	targets := newTargets(seats)
	p := plan{seats: seats}
	for _, info := range free {
		mv := Move{Slice: info.Slice, From: info.Group, To: targets.take(), PriorAssignment: info.Assignment}
		if mv.From.IsZero() {
			p.assigned = append(p.assigned, mv)
		} else {
			p.evicted = append(p.evicted, mv)
		}
	}
	if unbalanced(seats) {
		p.balanced = balance(seats, targets)
	}
	return p
}

// distribute counts the slices of each seat and returns those that are in no
// seat, in order.
func distribute(t *ownership.Table, name ident.Service, seats []seat) []ownership.SliceInfo {
	position := make(map[ident.Member]int, len(seats))
	for i := range seats {
		position[seats[i].member] = i
	}
	var free []ownership.SliceInfo
	t.EachSlice(name, func(info ownership.SliceInfo) {
		i, ok := position[info.Group]
		if !ok {
			free = append(free, info)
			return
		}
		seats[i].slices = append(seats[i].slices, info)
		seats[i].count++
	})
	setExact(seats, len(free))
	return free
}

// unbalanced reports whether a seat is off its quota by more than the
// hysteresis.
func unbalanced(seats []seat) bool {
	return slices.ContainsFunc(seats, func(s seat) bool {
		return max(s.count-s.quota, s.quota-s.count) > int(s.exact*hysteresis)
	})
}

// balance moves the surplus of each seat to the seats below their quota.
func balance(seats []seat, targets *targets) []Move {
	var out []Move
	for i := range seats {
		s := &seats[i]
		surplus := s.count - s.quota
		if surplus <= 0 {
			continue
		}
		for _, info := range s.lowestRanked(surplus) {
			out = append(out, Move{Slice: info.Slice, From: s.member, To: targets.take(), PriorAssignment: info.Assignment})
		}
	}
	return out
}

// lowestRanked returns n slices of the seat, those with the least rendezvous
// hash on it, so that the choice does not change as other slices come and go.
func (s *seat) lowestRanked(n int) []ownership.SliceInfo {
	ranked := slices.Clone(s.slices)
	slices.SortFunc(ranked, func(a, b ownership.SliceInfo) int {
		return cmp.Or(
			cmp.Compare(rendezvous(a.Slice, s.member), rendezvous(b.Slice, s.member)),
			cmp.Compare(a.Slice.Index, b.Slice.Index))
	})
	return ranked[:n]
}
