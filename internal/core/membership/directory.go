package membership

import (
	"cmp"
	"container/heap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// candidate is a member that may be chosen as a witness or successor.
type candidate struct {
	member     ident.Member
	domain     ident.FailureDomain
	roles      int // number of groups in which the member has the role
	sliceCount int // number of slices in the lease group of the member
	heapIndex  int // index in its candidateHeap
}

// candidateHeap is a heap of the candidates in one failure domain, the least used
// one first.
type candidateHeap []*candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(i, j int) bool { return h[i].less(h[j]) }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) {
	c := x.(*candidate)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// less reports whether c is used less than o: by its roles, then by its slices.
// The order of members decides ties.
func (c *candidate) less(o *candidate) bool {
	return cmp.Or(cmp.Compare(c.roles, o.roles), cmp.Compare(c.sliceCount, o.sliceCount), ownership.CompareMembers(c.member, o.member)) < 0
}

// candidateIndex holds the candidates for one role by failure domain.
type candidateIndex struct {
	members map[ident.Member]*candidate
	heaps   map[ident.FailureDomain]*candidateHeap
}

// newCandidateIndex returns an empty index.
func newCandidateIndex() *candidateIndex {
	return &candidateIndex{
		members: make(map[ident.Member]*candidate),
		heaps:   make(map[ident.FailureDomain]*candidateHeap),
	}
}

// add adds a candidate without roles. The heaps are not valid before initHeaps.
func (x *candidateIndex) add(info ownership.MemberInfo, sliceCount int) {
	domain := info.Location.FailureDomain
	c := &candidate{member: info.Member, domain: domain, sliceCount: sliceCount}
	x.members[info.Member] = c
	h := x.heaps[domain]
	if h == nil {
		h = &candidateHeap{}
		x.heaps[domain] = h
	}
	c.heapIndex = h.Len()
	*h = append(*h, c)
}

// countRoles counts one role for each of the members that is a candidate. The
// heaps are not valid before initHeaps.
func (x *candidateIndex) countRoles(members []ident.Member) {
	for _, m := range members {
		if c := x.members[m]; c != nil {
			c.roles++
		}
	}
}

// initHeaps establishes the order of the heaps after all candidates and roles are
// known.
func (x *candidateIndex) initHeaps() {
	for _, h := range x.heaps {
		heap.Init(h)
	}
}

// countExcept returns the number of candidates other than m.
func (x *candidateIndex) countExcept(m ident.Member) int {
	if x.members[m] != nil {
		return len(x.members) - 1
	}
	return len(x.members)
}

// otherDomainCount returns the number of failure domains other than domain that
// have candidates.
func (x *candidateIndex) otherDomainCount(domain ident.FailureDomain) int {
	if x.heaps[domain] != nil {
		return len(x.heaps) - 1
	}
	return len(x.heaps)
}

// countOutside returns the number of candidates other than m that are not in the
// failure domain.
func (x *candidateIndex) countOutside(m ident.Member, domain ident.FailureDomain) int {
	n := x.countExcept(m)
	sameDomain := x.heaps[domain]
	if sameDomain == nil {
		return n
	}
	n -= sameDomain.Len()
	if c := x.members[m]; c != nil && c.domain == domain {
		n++
	}
	return n
}

// takeLeastUsed returns the least used candidate that s does not exclude and
// whose failure domain is allowed, and counts one more role for it. It returns
// nil if there is none.
func (x *candidateIndex) takeLeastUsed(s *selection, allowed func(ident.FailureDomain) bool) *candidate {
	var best *candidate
	for domain, domainHeap := range x.heaps {
		if !allowed(domain) {
			continue
		}
		if c := domainHeap.leastUsed(s); c != nil && (best == nil || c.less(best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	best.roles++
	heap.Fix(x.heaps[best.domain], best.heapIndex)
	return best
}

// leastUsed returns the least used candidate that chosen does not exclude, or nil
// if there is none. All candidates remain in the heap.
func (h *candidateHeap) leastUsed(chosen *selection) *candidate {
	var skipped []*candidate
	defer func() {
		for _, c := range skipped {
			heap.Push(h, c)
		}
	}()
	for h.Len() > 0 {
		if c := (*h)[0]; !chosen.excludes(c.member) {
			return c
		}
		skipped = append(skipped, heap.Pop(h).(*candidate))
	}
	return nil
}
