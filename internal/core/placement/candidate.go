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

// seat is a member that may be given slices of a service.
type seat struct {
	member ident.Member
	weight float64 // capacity in slots
	slices []ownership.SliceInfo
	count  int     // slices held once the plan so far is carried out
	exact  float64 // share of the slices in proportion to the weight
	quota  int     // exact rounded so that the quotas add up
}

// newSeats returns the members of the service's pool that may be given slices,
// in order: present, not draining, and holding their own lease group.
func newSeats(t *ownership.Table, svc config.Service) []seat {
	var out []seat
	for _, info := range t.PoolMembers(svc.Pool) {
		g, ok := t.Group(info.Member)
		if info.Draining || !ok || g.Holder != info.Member {
			continue
		}
		weight := float64(max(1, info.Capabilities.Slots))
		out = append(out, seat{member: info.Member, weight: weight})
	}
	return out
}

// setExact divides the slices held by the seats and the free ones by weight.
func setExact(seats []seat, free int) {
	total, weights := float64(free), 0.0
	for i := range seats {
		total += float64(seats[i].count)
		weights += seats[i].weight
	}
	for i := range seats {
		seats[i].exact = total * seats[i].weight / weights
	}
}

// setQuotas rounds the exact shares down and gives the remaining slices first
// to seats that hold more already, then by the greatest remainder.
func setQuotas(name ident.Service, seats []seat) {
	total, given := 0.0, 0
	order := make([]*seat, len(seats))
	for i := range seats {
		s := &seats[i]
		s.quota = int(s.exact)
		total += s.exact
		given += s.quota
		order[i] = s
	}
	rest := int(total+0.5) - given
	slices.SortFunc(order, func(a, b *seat) int {
		return cmp.Or(
			-cmp.Compare(holdsMore(a), holdsMore(b)),
			-cmp.Compare(a.exact-float64(a.quota), b.exact-float64(b.quota)),
			cmp.Compare(tieBreak(name, a.member), tieBreak(name, b.member)))
	})
	for _, s := range order[:rest] {
		s.quota++
	}
}

func holdsMore(s *seat) int {
	if s.count > s.quota {
		return 1
	}
	return 0
}

// targets orders the seats below their quota by how little they are filled.
type targets []*seat

func newTargets(seats []seat) *targets {
	t := &targets{}
	for i := range seats {
		if seats[i].count < seats[i].quota {
			*t = append(*t, &seats[i])
		}
	}
	heap.Init(t)
	return t
}

// take gives one slice to the least filled seat. The surplus and the free slices
// never outnumber the places below quota.
func (t *targets) take() ident.Member {
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
func (t targets) Len() int { return len(t) }

// Less implements heap.Interface.
func (t targets) Less(i, j int) bool {
	a, b := t[i], t[j]
	if c := cmp.Compare(float64(a.count)/a.weight, float64(b.count)/b.weight); c != 0 {
		return c < 0
	}
	return a.member.Less(b.member)
}

// Swap implements heap.Interface.
func (t targets) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *targets) Push(x any) { *t = append(*t, x.(*seat)) }

// Pop implements heap.Interface.
func (t *targets) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// rendezvous ranks a slice on a member (Thaler, Ravishankar, 1998).
func rendezvous(s ident.Slice, m ident.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	_, _ = d.WriteString(string(s.Service))
	binary.LittleEndian.PutUint64(number[:], uint64(s.Index))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(string(m.Host))
	return d.Sum64()
}

// tieBreak gives each service its own order of equal members.
func tieBreak(name ident.Service, m ident.Member) uint64 {
	return rendezvous(ident.Slice{Service: name}, m)
}
