package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
)

// planByEachHolder returns the moves that the holders of all groups plan, each for
// its own group only.
func planByEachHolder(t *ownership.Table, budget int) []placement.Move {
	var out []placement.Move
	for _, g := range t.Groups() {
		for _, mv := range placement.PlanMovesFrom(t, budget, []ident.Member{g.ID}) {
			if mv.From == g.ID {
				out = append(out, mv)
			}
		}
	}
	return out
}

// TestMovesOfEachHolderSettleAlike checks that holders which plan only the services
// they hold settle the cluster as well as a planner of all services does. With a
// single service, they also plan as many moves.
func TestMovesOfEachHolderSettleAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Bool().Draw(t, "one service")
		cfg := newConfig(64, 32)
		if one {
			cfg = newConfig(64)
		}
		c := newCluster(t, cfg)
		for range rapid.IntRange(2, 8).Draw(t, "members") {
			c.join(rapid.Uint32Range(1, 40).Draw(t, "slots"))
		}
		c.settle(3)
		c.remove(rapid.IntRange(0, len(c.members)-1).Draw(t, "which"), rapid.Bool().Draw(t, "lost"))
		c.join(rapid.Uint32Range(1, 40).Draw(t, "slots"))
		if one {
			table := c.state.Table()
			assert.Equal(t, len(planByEachHolder(table, 4)), len(placement.PlanMoves(table, 4)))
		}
		c.settleWith(4, planByEachHolder)
		checkSettled(t, c, cfg)
	})
}
