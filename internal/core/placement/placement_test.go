package placement_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// checkMoves checks the invariants of a single plan: each slice moves at most once,
// away from its present group and to a member that may hold it, and at most budget
// moves leave one group.
func checkMoves(t assert.TestingT, table *ownership.Table, moves []placement.Move, budget int) {
	leaving := map[ident.Member]int{}
	seen := map[ident.Slice]bool{}
	for _, mv := range moves {
		info, ok := table.Slice(mv.Slice)
		assert.Assert(t, ok && !seen[mv.Slice] && info.Group == mv.From && info.Assignment == mv.PriorAssignment)
		to, _ := table.Member(mv.To)
		g, _ := table.Group(mv.To)
		assert.Assert(t, to.Present && !to.Draining && to.Pool == pool && g.Holder == mv.To, "to %+v", to)
		seen[mv.Slice] = true
		leaving[mv.From]++
		assert.Assert(t, mv.From.IsZero() || leaving[mv.From] <= budget)
	}
}

// TestPlansKeepToCapacityAndBudget lets members of random capacity join, drain and
// fail. It checks that plans are deterministic and keep to the budget, and that the
// cluster settles in proportion to the capacities.
func TestPlansKeepToCapacityAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := newConfig(rapid.SampledFrom([]uint32{1, 16, 64}).Draw(t, "slices"), 32)
		c := newCluster(t, cfg)
		for range rapid.IntRange(1, 8).Draw(t, "members") {
			c.join(rapid.Uint32Range(0, 40).Draw(t, "slots"))
		}
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			if len(c.members) > 1 && rapid.Bool().Draw(t, "remove") {
				c.remove(rapid.IntRange(0, len(c.members)-1).Draw(t, "which"), rapid.Bool().Draw(t, "lost"))
			} else {
				c.join(rapid.Uint32Range(1, 40).Draw(t, "slots"))
			}
			budget := rapid.IntRange(1, 9).Draw(t, "budget")
			table := c.state.Table()
			moves := placement.PlanMoves(table, budget)
			assert.DeepEqual(t, moves, placement.PlanMoves(table, budget))
			checkMoves(t, table, moves, budget)
			checkMoves(t, table, placement.PlanAssignments(table, budget), budget)
			if rapid.Bool().Draw(t, "settle") {
				c.settle(budget)
			}
		}
		c.settle(3)
		checkSettled(t, c, cfg)
	})
}

// checkSettled checks that members which may hold slices hold all of them, and that
// the number of slices of each differs from its exact share by less than one slice
// plus the hysteresis.
func checkSettled(t assert.TestingT, c *cluster, cfg serviceList) {
	table := c.state.Table()
	weights, weight := 0.0, map[ident.Member]float64{}
	for _, m := range c.members {
		info, _ := table.Member(m)
		weight[m] = float64(max(1, info.Capabilities.Slots))
		weights += weight[m]
	}
	for _, svc := range cfg {
		counts, total := map[ident.Member]int{}, 0
		table.EachSlice(svc.Name, func(info ownership.SliceInfo) {
			assert.Assert(t, slices.Contains(c.members, info.Group), "%+v", info)
			counts[info.Group]++
			total++
		})
		assert.Equal(t, total, int(svc.Slices))
		for _, m := range c.members {
			exact := float64(svc.Slices) * weight[m] / weights
			off := math.Abs(float64(counts[m]) - exact)
			assert.Assert(t, off < 1+0.05*exact+1e-9, "%s has %d of %.1f", m, counts[m], exact)
		}
	}
}

// statelessPlacement is a baseline: it places count slices on members without
// regard to where they were before.
type statelessPlacement func(count int, members []ident.Member) []ident.Member

// placeByModulo places slice s on member s modulo the number of members.
func placeByModulo(count int, members []ident.Member) []ident.Member {
	out := make([]ident.Member, count)
	for s := range out {
		out[s] = members[s%len(members)]
	}
	return out
}

// placeOnRing places slices by consistent hashing with 100 points per member (Karger
// et al., 1997).
func placeOnRing(count int, members []ident.Member) []ident.Member {
	owner := map[uint64]ident.Member{}
	for _, m := range members {
		for point := range 100 {
			owner[xxhash.Sum64String(fmt.Sprint(m, point))] = m
		}
	}
	points := slices.Sorted(maps.Keys(owner))
	out := make([]ident.Member, count)
	for s := range out {
		i, _ := slices.BinarySearch(points, xxhash.Sum64String(fmt.Sprint("slice", s)))
		out[s] = owner[points[i%len(points)]]
	}
	return out
}

// churn returns the number of slices whose owner differs after a change of members.
func (b statelessPlacement) churn(count int, before, after []ident.Member) int {
	return countChanges(b(count, before), b(count, after))
}

// countChanges returns the number of slices whose owner differs between a and b.
func countChanges(a, b []ident.Member) (n int) {
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// imbalance returns the greatest number of slices of a member, divided by the mean.
func imbalance(owners []ident.Member, members int) float64 {
	counts, most := map[ident.Member]int{}, 0
	for _, m := range owners {
		counts[m]++
		most = max(most, counts[m])
	}
	return float64(most*members) / float64(len(owners))
}

// owners returns the group of each of the count slices of service s0.
func (c *cluster) owners(count int) []ident.Member {
	out := make([]ident.Member, count)
	c.state.Table().EachSlice("s0", func(info ownership.SliceInfo) { out[info.Slice.Index] = info.Group })
	return out
}

// TestChurnAgainstModuloAndConsistentHashing checks that the plan moves hardly more
// slices than necessary, and fewer than placement by modulo.
func TestChurnAgainstModuloAndConsistentHashing(t *testing.T) {
	for name, slots := range map[string][]uint32{"equal capacities": {20}, "unequal capacities": {20, 13, 31, 24, 17}} {
		t.Run(name, func(t *testing.T) { compareChurn(t, slots) })
	}
}

// compareChurn lets members join and leave and compares the number of slices that the
// plan and the baselines move with its lower bound: the quota of a member that joins,
// or the slices of a member that leaves.
func compareChurn(t *testing.T, slots []uint32) {
	const count, start = 256, 24
	c := newCluster(t, newConfig(count))
	weights := 0.0
	join := func() float64 {
		n := slots[c.joinCount%len(slots)]
		weights += float64(n)
		c.join(n)
		return count * float64(n) / weights
	}
	for range start {
		join()
	}
	c.settle(64)
	var planChurn, moduloChurn, ringChurn int
	var bound float64
	var worstPlan, worstRing float64
	for i := range 16 {
		before, members := c.owners(count), slices.Clone(c.members)
		if i%2 == 0 {
			bound += math.Floor(join())
		} else {
			leaver := c.members[(i*7)%len(c.members)]
			bound += float64(c.state.Table().SliceCount(leaver))
			info, _ := c.state.Table().Member(leaver)
			weights -= float64(info.Capabilities.Slots)
			c.remove((i*7)%len(c.members), i%4 == 1)
		}
		planChurn += c.settle(4)
		worstPlan = max(worstPlan, imbalance(c.owners(count), len(c.members)))
		worstRing = max(worstRing, imbalance(placeOnRing(count, c.members), len(c.members)))
		moduloChurn += statelessPlacement(placeByModulo).churn(count, members, c.members)
		ringChurn += statelessPlacement(placeOnRing).churn(count, members, c.members)
		assert.Assert(t, countChanges(before, c.owners(count)) <= planChurn)
	}
	over := func(n int) float64 { return float64(n) / bound }
	t.Logf("churn over lower bound: plan %.3f, consistent hashing %.3f, modulo %.3f", over(planChurn), over(ringChurn), over(moduloChurn))
	t.Logf("greatest imbalance: plan %.3f, consistent hashing %.3f", worstPlan, worstRing)
	assert.Assert(t, over(planChurn) <= 1.02, "churn %.3f", over(planChurn))
	assert.Assert(t, planChurn < moduloChurn)
	assert.Assert(t, len(slots) > 1 || worstPlan < worstRing)
}

// loadBySlice is a LoadSource with fixed loads.
type loadBySlice map[ident.Slice]float64

func (l loadBySlice) Load(s ident.Slice) float64 { return l[s] }

// maxRelativeLoad returns the greatest load of a member, divided by the mean.
func (l loadBySlice) maxRelativeLoad(c *cluster) float64 {
	byMember, total, most := map[ident.Member]float64{}, 0.0, 0.0
	c.state.Table().EachSlice("s0", func(info ownership.SliceInfo) {
		byMember[info.Group] += l[info.Slice]
		total += l[info.Slice]
		most = max(most, byMember[info.Group])
	})
	return most * float64(len(c.members)) / total
}

// TestLoadOfZipfKeysIsBalanced settles a cluster by the load of keys with a Zipf
// distribution, the hottest of which have slices of their own. It checks that the
// greatest load of a member is then within 10% of the mean, or no more than that of
// the largest slice.
func TestLoadOfZipfKeysIsBalanced(t *testing.T) {
	const count, keys, hot, members = 128, 4_000, 8, 12
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, newConfig(count))
		for range members {
			c.join(20)
		}
		c.settle(64)
		seed := rapid.Uint64().Draw(t, "seed")
		key := func(rank int) ident.KeyHash { return ownership.HashKey(fmt.Append(nil, seed, rank)) }
		for rank := range hot {
			c.write(c.memberAt(0), &record.HotKeySet{Term: 1, Service: "s0", Key: key(rank), Index: uint32(count + rank)})
		}
		loads, largest, total := loadBySlice{}, 0.0, 0.0
		svc, _ := c.state.Table().Config().Service("s0")
		for rank := range keys {
			load := 1 / float64(rank+10) // Zipf with a flat head (Mandelbrot)
			s := c.state.Table().SliceFor(svc, key(rank))
			loads[s] += load
			largest = max(largest, loads[s])
			total += load
		}
		before := loads.maxRelativeLoad(c)
		moved := c.settleWith(2, func(table *ownership.Table, budget int) []placement.Move {
			moves := placement.PlanMovesByLoad(table, loads, budget)
			checkMoves(t, table, moves, budget)
			return moves
		})
		after := loads.maxRelativeLoad(c)
		t.Logf("greatest load over the mean: %.3f by number of slices, %.3f by load after %d moves", before, after, moved)
		assert.Assert(t, after <= max(1.10, largest*members/total+1e-9), "%.3f", after)
	})
}

func BenchmarkPlace64kSlicesOn6200Members(b *testing.B) {
	c := newCluster(b, newConfig(1<<16))
	for range 6200 {
		c.join(20)
	}
	t := c.state.Table()
	b.ReportAllocs()
	for b.Loop() {
		placement.PlanAssignments(t, 1<<16)
	}
}
