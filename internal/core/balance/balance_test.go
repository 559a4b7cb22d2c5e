package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func newPool(n int, regions ...ident.Region) []balance.Candidate {
	var cs []balance.Candidate
	for i := range n {
		m := ident.Member{Host: ident.Host(fmt.Sprintf("h%02d", i)), Incarnation: 1}
		cs = append(cs, balance.Candidate{Member: m, Region: regions[i%len(regions)], Slots: 10})
	}
	return cs
}

// For every sequence of sends and ends, each candidate must appear exactly once,
// and no server of another region may come before a usable server of the caller's
// region.
func TestOrderIsAPermutationWithRegionFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := newPool(rapid.IntRange(1, 8).Draw(t, "n"), "a", "b")
		c := balance.NewChooser(balance.DefaultConfig())
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		now := ident.Instant(0)
		failed := map[ident.Member]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			out := c.Order(now, rng, "a", cs)
			assert.Equal(t, len(out), len(cs))
			seen := map[ident.Member]bool{}
			otherRegion := false
			for _, x := range out {
				assert.Assert(t, !seen[x.Member])
				seen[x.Member] = true
				if !failed[x.Member] {
					assert.Assert(t, x.Region != "a" || !otherRegion, "%v", out)
					otherRegion = otherRegion || x.Region != "a"
				}
			}
			c.RecordSent(out[0].Member)
			bad := rapid.Bool().Draw(t, "failed")
			failed[out[0].Member] = failed[out[0].Member] || bad
			c.RecordEnd(now, out[0].Member, bad)
		}
	})
}

// The most loaded server of the chooser must be closer to the mean than that of a
// single random choice, for the same number of requests in flight.
func TestTwoChoicesBalanceBetterThanOne(t *testing.T) {
	const (
		servers  = 20
		requests = 4000
	)
	rng := rand.New(rand.NewPCG(7, 7))
	cs := newPool(servers, "a")
	c := balance.NewChooser(balance.DefaultConfig())
	two, one := map[ident.Member]int{}, map[ident.Member]int{}
	for range requests {
		m := c.Order(0, rng, "a", cs)[0].Member
		c.RecordSent(m)
		two[m]++
		one[cs[rng.IntN(servers)].Member]++
	}
	assert.Assert(t, maxCount(two)-requests/servers < (maxCount(one)-requests/servers)/2,
		"two choices %d, one choice %d", maxCount(two), maxCount(one))
}

func maxCount(m map[ident.Member]int) int {
	most := 0
	for _, n := range m {
		most = max(most, n)
	}
	return most
}

func TestFailingServerIsEjectedAndReturnsByOneTrial(t *testing.T) {
	cfg := balance.DefaultConfig()
	cs := newPool(2, "a")
	bad, good := cs[0].Member, cs[1].Member
	rng := rand.New(rand.NewPCG(1, 1))
	c := balance.NewChooser(cfg)
	for range cfg.EjectAfter {
		c.RecordSent(bad)
		c.RecordEnd(0, bad, true)
	}
	for range 50 {
		assert.Equal(t, c.Order(0, rng, "a", cs)[0].Member, good)
	}
	later := ident.Instant(0).Add(cfg.FirstEjection)
	c.RecordSent(good)
	assert.Equal(t, c.Order(later, rng, "a", cs)[0].Member, bad)
	c.RecordSent(bad)
	assert.Equal(t, c.Order(later, rng, "a", cs)[0].Member, good)
	c.RecordEnd(later, bad, false)
	c.RecordSent(good)
	assert.Equal(t, c.Order(later, rng, "a", cs)[0].Member, bad)
}
