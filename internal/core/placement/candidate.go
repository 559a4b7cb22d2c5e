package placement

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// candidate is a member that may receive slices of a service.
type candidate struct {
	member     ident.Member
	weight     float64 // capacity in slots
	slices     []ownership.SliceInfo
	count      int     // number of slices, including those that the plan assigns to it so far
	exactShare float64 // its part of the service's slices, in proportion to its weight
	quota      int     // exactShare, rounded so that the sum of the quotas is the number of slices
}

// newCandidates returns, in order, the members of the service's pool that may receive
// slices: those that are present, not draining, and hold their own lease group.
func newCandidates(t *ownership.Table, svc config.Service) []candidate {
	var out []candidate
	for _, info := range t.PoolMembers(svc.Pool) {
		g, ok := t.Group(info.Member)
		if info.Draining || !ok || g.Holder != info.Member {
			continue
		}
		weight := float64(max(1, info.Capabilities.Slots))
		out = append(out, candidate{member: info.Member, weight: weight})
	}
	return out
}

// setExactShares sets the exact share of each candidate: its part, by weight, of the
// slices that the candidates hold and of the given number of unplaced slices.
func setExactShares(candidates []candidate, unplaced int) {
	total, weights := float64(unplaced), 0.0
	for i := range candidates {
		total += float64(candidates[i].count)
		weights += candidates[i].weight
	}
	for i := range candidates {
		candidates[i].exactShare = total * candidates[i].weight / weights
	}
}

// setQuotas rounds the exact shares down. It adds the remaining slices one by one,
// first to the quotas of candidates that hold more slices than their quota, then by
// the greatest remainder.
func setQuotas(name ident.Service, candidates []candidate) {
	total, given := 0.0, 0
	order := make([]*candidate, len(candidates))
	for i := range candidates {
		s := &candidates[i]
		s.quota = int(s.exactShare)
		total += s.exactShare
		given += s.quota
		order[i] = s
	}
	rest := int(total+0.5) - given
	slices.SortFunc(order, func(a, b *candidate) int {
		return cmp.Or(
			-cmp.Compare(holdsAboveQuota(a), holdsAboveQuota(b)),
			-cmp.Compare(a.exactShare-float64(a.quota), b.exactShare-float64(b.quota)),
			cmp.Compare(tieBreak(name, a.member), tieBreak(name, b.member)))
	})
	for _, s := range order[:rest] {
		s.quota++
	}
}

// holdsAboveQuota returns 1 if the candidate holds more slices than its quota, else 0.
func holdsAboveQuota(s *candidate) int {
	if s.count > s.quota {
		return 1
	}
	return 0
}

// receiverHeap is a heap of the candidates below their quota. The first is the
// candidate with the fewest slices relative to its weight.
type receiverHeap []*candidate

func newReceiverHeap(candidates []candidate) *receiverHeap {
	t := &receiverHeap{}
	for i := range candidates {
		if candidates[i].count < candidates[i].quota {
			*t = append(*t, &candidates[i])
		}
	}
	heap.Init(t)
	return t
}

// assignSlice counts one more slice for the first candidate of the heap and returns
// its member. The heap is never empty on a call, since the surplus and the unplaced
// slices together never outnumber the slices that the candidates lack to their quotas.
func (t *receiverHeap) assignSlice() ident.Member {
	s := (*t)[0]
	s.count++
	if s.count < s.quota {
		heap.Fix(t, 0)
	} else {
		heap.Pop(t)
	}
	return s.member
}

// Len implements heap.Interface.
func (t receiverHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t receiverHeap) Less(i, j int) bool {
	a, b := t[i], t[j]
	if c := cmp.Compare(float64(a.count)/a.weight, float64(b.count)/b.weight); c != 0 {
		return c < 0
	}
	return a.member.Less(b.member)
}

// Swap implements heap.Interface.
func (t receiverHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *receiverHeap) Push(x any) { *t = append(*t, x.(*candidate)) }

// Pop implements heap.Interface.
func (t *receiverHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// rendezvousHash returns the weight of a slice on a member for rendezvous hashing
// (Thaler, Ravishankar, 1998). It depends on the host but not on the incarnation.
func rendezvousHash(s ident.Slice, m ident.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	_, _ = d.WriteString(string(s.Service))
	binary.LittleEndian.PutUint64(number[:], uint64(s.Index))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(string(m.Host))
	return d.Sum64()
}

// tieBreak returns a value that orders members which are otherwise equal. The order
// differs from service to service.
func tieBreak(name ident.Service, m ident.Member) uint64 {
	return rendezvousHash(ident.Slice{Service: name}, m)
}
