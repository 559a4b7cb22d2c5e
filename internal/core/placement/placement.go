// Package placement plans which lease group each slice belongs to. Its input is the
// ownership table; its output is a list of moves. Plans are pure functions of the
// table, so that every daemon computes the same plan from the same table. The leader
// carries out the assignments of unassigned slices, and each holder the moves out of
// the groups that it holds.
//
// The slices of each service are divided among the members of its pool by quota, in
// proportion to their capacity. The quotas are rounded by the method of largest
// remainders (Hamilton), which here prefers members that hold more slices already.
// To balance, only slices of members above their quota move, and only to members
// below theirs. This is the bound of consistent hashing with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam, 2016) with a bound of one slice.
package placement

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// countHysteresis is the fraction of its exact share by which a member may differ
// from its quota before slices move only for balance.
const countHysteresis = 0.05

// Move is the planned move of one slice from one lease group to another.
type Move struct {
	Slice           ident.Slice
	From            ident.Member     // the present group; zero for an unassigned slice
	To              ident.Member     // the group that receives the slice
	PriorAssignment ident.Assignment // the slice's assignment in the table of the plan
}

// PlanAssignments returns the groups for at most limit unassigned slices. The leader
// carries these moves out.
func PlanAssignments(t *ownership.Table, limit int) []Move {
	var out []Move
	for _, svc := range t.Config().Services() {
		if t.UnassignedCount(svc.Name) == 0 || len(out) >= limit {
			continue
		}
		p := planService(t, svc)
		out = append(out, p.assignments[:min(len(p.assignments), limit-len(out))]...)
	}
	return out
}

// PlanMoves returns the moves that empty the groups of members that may hold no
// slices any more, and then the moves that balance the groups by number of slices.
// At most budget moves leave one group, and at most budget balancing moves enter one
// group.
func PlanMoves(t *ownership.Table, budget int) []Move {
	return planMoves(t, budget, everyService, func(p servicePlan) []Move { return p.balancingMoves })
}

// PlanMovesFrom is like PlanMoves, but plans only the services that have slices in
// the given groups. Moves out of these groups are the same as those of PlanMoves,
// except that the budget counts only the moves of these services.
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
	return planMoves(t, budget, func(s ident.Service) bool { return held[s] }, func(p servicePlan) []Move { return p.balancingMoves })
}

// everyService is a filter for planMoves that selects every service.
func everyService(ident.Service) bool { return true }

// planMoves returns the evictions of all keyed services that wanted selects, and then
// their balancing moves. The function balanced returns the balancing moves of one
// service.
func planMoves(t *ownership.Table, budget int, wanted func(ident.Service) bool, balanced func(servicePlan) []Move) []Move {
	b := moveBudget{perGroup: budget, movesOut: make(map[ident.Member]int), movesIn: make(map[ident.Member]int)}
	var out, balance []Move
	for _, svc := range t.Config().Services() {
		if svc.Mode != config.Keyed || !wanted(svc.Name) {
			continue
		}
		p := planService(t, svc)
		for _, mv := range p.evictions {
			if b.allowMoveOut(mv) {
				out = append(out, mv)
			}
		}
		balance = append(balance, balanced(p)...)
	}
	for _, mv := range balance {
		if b.allowBalancingMove(mv) {
			out = append(out, mv)
		}
	}
	return out
}

// moveBudget limits the moves out of each group and into each group.
type moveBudget struct {
	perGroup int // moves
	movesOut map[ident.Member]int
	movesIn  map[ident.Member]int
}

// allowMoveOut reports whether the budget allows a move out of a group, and counts
// the move if so.
func (b *moveBudget) allowMoveOut(mv Move) bool {
	if b.movesOut[mv.From] >= b.perGroup {
		return false
	}
	b.movesOut[mv.From]++
	return true
}

// allowBalancingMove does the same for a balancing move, which the receiving group
// need not accept now. It also limits, and counts, the moves into that group.
func (b *moveBudget) allowBalancingMove(mv Move) bool {
	if b.movesIn[mv.To] >= b.perGroup || !b.allowMoveOut(mv) {
		return false
	}
	b.movesIn[mv.To]++
	return true
}

// servicePlan holds the moves that are due for one service, before any budget.
type servicePlan struct {
	assignments    []Move // moves of unassigned slices
	evictions      []Move // moves out of groups that must be emptied
	balancingMoves []Move // moves out of groups above their quota
	candidates     []candidate
}

// planService returns the plan for one service, which is empty if the service has no
// candidates.
func planService(t *ownership.Table, svc config.Service) servicePlan {
	candidates := newCandidates(t, svc)
	if len(candidates) == 0 {
		return servicePlan{}
	}
	unplaced := countSlices(t, svc.Name, candidates)
	setQuotas(svc.Name, candidates)
	receivers := newReceiverHeap(candidates)
	p := servicePlan{candidates: candidates}
	for _, info := range unplaced {
		mv := Move{Slice: info.Slice, From: info.Group, To: receivers.assignSlice(), PriorAssignment: info.Assignment}
		if mv.From.IsZero() {
			p.assignments = append(p.assignments, mv)
		} else {
			p.evictions = append(p.evictions, mv)
		}
	}
	if isUnbalanced(candidates) {
		p.balancingMoves = balanceByCount(candidates, receivers)
	}
	return p
}

// countSlices counts the slices of each candidate and sets the exact shares. It
// returns, in order, the slices that no candidate holds.
func countSlices(t *ownership.Table, name ident.Service, candidates []candidate) []ownership.SliceInfo {
	position := make(map[ident.Member]int, len(candidates))
	for i := range candidates {
		position[candidates[i].member] = i
	}
	var unplaced []ownership.SliceInfo
	t.EachSlice(name, func(info ownership.SliceInfo) {
		i, ok := position[info.Group]
		if !ok {
			unplaced = append(unplaced, info)
			return
		}
		candidates[i].slices = append(candidates[i].slices, info)
		candidates[i].count++
	})
	setExactShares(candidates, len(unplaced))
	return unplaced
}

// isUnbalanced reports whether the count of any candidate differs from its quota by
// more than the hysteresis.
func isUnbalanced(candidates []candidate) bool {
	return slices.ContainsFunc(candidates, func(c candidate) bool {
		return max(c.count-c.quota, c.quota-c.count) > int(c.exactShare*countHysteresis)
	})
}

// balanceByCount moves the surplus of each candidate to the candidates below their quota.
func balanceByCount(candidates []candidate, receivers *receiverHeap) []Move {
	var out []Move
	for i := range candidates {
		c := &candidates[i]
		surplus := c.count - c.quota
		if surplus <= 0 {
			continue
		}
		for _, info := range c.lowestRanked(surplus) {
			out = append(out, Move{Slice: info.Slice, From: c.member, To: receivers.assignSlice(), PriorAssignment: info.Assignment})
		}
	}
	return out
}

// lowestRanked returns the n slices of the candidate that have the least rendezvous
// hash with it, so that the choice does not change when other slices come and go.
func (c *candidate) lowestRanked(n int) []ownership.SliceInfo {
	ranked := slices.Clone(c.slices)
	slices.SortFunc(ranked, func(a, b ownership.SliceInfo) int {
		return cmp.Or(
			cmp.Compare(rendezvousHash(a.Slice, c.member), rendezvousHash(b.Slice, c.member)),
			cmp.Compare(a.Slice.Index, b.Slice.Index))
	})
	return ranked[:n]
}
