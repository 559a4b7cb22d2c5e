package heldmem

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Reader is what is known of one that reads an answer slowly.
type Reader struct {
	Held  int64 // bytes that are held until it has taken all
	Taken int64 // bytes that it has taken so far
	Since ident.Instant
}

// soonDone is the time within which a reader that will have taken all is not cut: its memory
// comes free by itself.
const soonDone = time.Second

// leastSeen is the time after which the pace of a reader is known. Before, another daemon may
// not have granted credit for the first bytes.
const leastSeen = 500 * time.Millisecond

// timeLeft returns how long a reader will still take at its pace, without a bound if it has
// taken nothing.
func (r Reader) timeLeft(now ident.Instant) float64 {
	return float64(r.Held-r.Taken) * float64(now.Sub(r.Since)) / float64(max(r.Taken, 1))
}

// cost is the memory that a reader will keep from others, in bytes times nanoseconds.
func (r Reader) cost(now ident.Instant) float64 { return float64(r.Held) * r.timeLeft(now) }

// ChooseCut returns the readers to cut, by their indexes, so that need bytes come free: those
// that would keep most memory for longest first. It returns fewer bytes if others will be done
// soon or began only now, and none if no bytes are needed.
func ChooseCut(readers []Reader, need int64, now ident.Instant) []int {
	var slow []int
	for i, r := range readers {
		if now.Sub(r.Since) >= leastSeen && r.timeLeft(now) > float64(soonDone) {
			slow = append(slow, i)
		}
	}
	slices.SortStableFunc(slow, func(a, b int) int { return -cmp.Compare(readers[a].cost(now), readers[b].cost(now)) })
	for n, i := range slow {
		if need <= 0 {
			return slow[:n]
		}
		need -= readers[i].Held
	}
	return slow
}
