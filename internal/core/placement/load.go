package placement

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// The bounds of balancing by load.
const (
	loadHysteresis = 0.05 // over its share before a member gives a slice away
	minGain        = 0.01 // of its share by which a move must lower the load
	maxLoadMoves   = 256  // for one service in one plan
)

// LoadSource tells the recent load of each slice, in any unit that adds up, such as
// slot-milliseconds per second.
type LoadSource interface {
	Load(ident.Slice) float64
}

// PlanMovesByLoad is like Moves, but balances each service by the load of its
// slices instead of their number. A service without any load is balanced by
// number. Members with different figures plan different moves; each carries out
// only those out of the groups that it holds.
func PlanMovesByLoad(t *ownership.Table, loads LoadSource, budget int) []Move {
	return moves(t, budget, everyService, func(p plan) []Move {
		seats, total := weigh(p.seats, loads)
		if total == 0 {
			return p.balanced
		}
		return balanceLoad(seats)
	})
}

// loadedSeat is a seat with the load of its slices.
type loadedSeat struct {
	member ident.Member
	share  float64 // of the total load, in proportion to the capacity
	load   float64
	slices []loadedSlice
	stuck  bool // no move away lowers the load
}

type loadedSlice struct {
	info  ownership.SliceInfo
	load  float64
	moved bool
}

// ratio returns the load over the share.
func (s *loadedSeat) ratio(change float64) float64 { return (s.load + change) / s.share }

func weigh(seats []seat, loads LoadSource) ([]loadedSeat, float64) {
	out := make([]loadedSeat, len(seats))
	total, weights := 0.0, 0.0
	for i, s := range seats {
		out[i] = loadedSeat{member: s.member, slices: make([]loadedSlice, len(s.slices))}
		for j, info := range s.slices {
			load := loads.Load(info.Slice)
			out[i].slices[j] = loadedSlice{info: info, load: load}
			out[i].load += load
		}
		total += out[i].load
		weights += s.weight
	}
	for i, s := range seats {
		out[i].share = total * s.weight / weights
	}
	return out, total
}

// balanceLoad moves slices one by one from the most to the least loaded seat,
// each time the slice that leaves the greater of the two ratios least.
func balanceLoad(seats []loadedSeat) []Move {
	var out []Move
	for len(out) < maxLoadMoves {
		from, to := extremes(seats)
		if from == nil || from.ratio(0) <= 1+loadHysteresis {
			return out
		}
		best := from.bestSlice(to)
		if best == nil {
			from.stuck = true
			continue
		}
		best.moved = true
		from.load -= best.load
		to.load += best.load
		out = append(out, Move{Slice: best.info.Slice, From: from.member, To: to.member, PriorAssignment: best.info.Assignment})
	}
	return out
}

// extremes returns the seat with the greatest ratio that is not stuck, and the
// seat with the least. The first is nil if all are stuck.
func extremes(seats []loadedSeat) (from, to *loadedSeat) {
	for i := range seats {
		s := &seats[i]
		if !s.stuck && (from == nil || s.ratio(0) > from.ratio(0)) {
			from = s
		}
		if to == nil || s.ratio(0) < to.ratio(0) {
			to = s
		}
	}
	return from, to
}

func (s *loadedSeat) bestSlice(to *loadedSeat) *loadedSlice {
	var best *loadedSlice
	least := s.ratio(0) - minGain
	for i := range s.slices {
		slice := &s.slices[i]
		after := max(s.ratio(-slice.load), to.ratio(slice.load))
		if !slice.moved && after < least {
			best, least = slice, after
		}
	}
	return best
}
