package placement

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// Limits for balancing by load.
const (
	loadHysteresis     = 0.05 // relative excess over its share above which a candidate hands off slices
	minRatioGain       = 0.01 // least reduction, relative to the share, by which a move must lower the load
	maxMovesPerService = 256  // moves of one service in one plan
)

// LoadSource provides the recent load of each slice, in any additive unit, such as
// slot-milliseconds per second.
type LoadSource interface {
	Load(ident.Slice) float64
}

// PlanMovesByLoad is like PlanMoves, but balances each service by the load of its
// slices instead of their number. A service without any load is balanced by
// number. Members whose load figures differ plan different moves, but each member
// carries out only the moves out of the groups that it holds.
func PlanMovesByLoad(t *ownership.Table, loads LoadSource, budget int) []Move {
	return planMoves(t, budget, everyService, func(p servicePlan) []Move {
		candidates, total := newLoadedCandidates(p.candidates, loads)
		if total == 0 {
			return p.balancingMoves
		}
		return balanceByLoad(candidates)
	})
}

// loadedCandidate is a candidate together with the load of its slices.
type loadedCandidate struct {
	member ident.Member
	share  float64 // its part of the total load, in proportion to its capacity
	load   float64 // sum over its slices, after the moves planned so far
	slices []loadedSlice
	noGain bool // no move out of this candidate lowers the load enough
}

// loadedSlice is a slice together with its load.
type loadedSlice struct {
	info  ownership.SliceInfo
	load  float64
	moved bool // the plan moves the slice already
}

// loadRatio returns the load, after the given change, divided by the share.
func (c *loadedCandidate) loadRatio(change float64) float64 { return (c.load + change) / c.share }

// newLoadedCandidates returns the candidates with their loads and shares, and the
// total load.
func newLoadedCandidates(candidates []candidate, loads LoadSource) ([]loadedCandidate, float64) {
	out := make([]loadedCandidate, len(candidates))
	total, weights := 0.0, 0.0
	for i, c := range candidates {
		out[i] = loadedCandidate{member: c.member, slices: make([]loadedSlice, len(c.slices))}
		for j, info := range c.slices {
			load := loads.Load(info.Slice)
			out[i].slices[j] = loadedSlice{info: info, load: load}
			out[i].load += load
		}
		total += out[i].load
		weights += c.weight
	}
	for i, c := range candidates {
		out[i].share = total * c.weight / weights
	}
	return out, total
}

// balanceByLoad moves slices one by one from the candidate with the greatest load
// ratio to that with the least. Each time it chooses the slice whose move minimizes
// the greater of the two ratios.
func balanceByLoad(candidates []loadedCandidate) []Move {
	var out []Move
	for len(out) < maxMovesPerService {
		from, to := extremes(candidates)
		if from == nil || from.loadRatio(0) <= 1+loadHysteresis {
			return out
		}
		best := from.bestSliceFor(to)
		if best == nil {
			from.noGain = true
			continue
		}
		best.moved = true
		from.load -= best.load
		to.load += best.load
		out = append(out, Move{Slice: best.info.Slice, From: from.member, To: to.member, PriorAssignment: best.info.Assignment})
	}
	return out
}

// extremes returns the candidate with the greatest load ratio, leaving out those
// with noGain set, and the candidate with the least. The first result is nil if
// noGain is set for all.
func extremes(candidates []loadedCandidate) (from, to *loadedCandidate) {
	for i := range candidates {
		c := &candidates[i]
		if !c.noGain && (from == nil || c.loadRatio(0) > from.loadRatio(0)) {
			from = c
		}
		if to == nil || c.loadRatio(0) < to.loadRatio(0) {
			to = c
		}
	}
	return from, to
}

// bestSliceFor returns the slice whose move to the candidate to minimizes the
// greater of the two load ratios, or nil if no move gains more than minRatioGain.
func (c *loadedCandidate) bestSliceFor(to *loadedCandidate) *loadedSlice {
	var best *loadedSlice
	least := c.loadRatio(0) - minRatioGain
	for i := range c.slices {
		slice := &c.slices[i]
		after := max(c.loadRatio(-slice.load), to.loadRatio(slice.load))
		if !slice.moved && after < least {
			best, least = slice, after
		}
	}
	return best
}
