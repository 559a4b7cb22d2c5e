package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
)

// byHolder joins what each group's holder would plan for its group alone.
func byHolder(t *ownership.Table, budget int) []placement.Move {
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

// Holders that plan only for the services they hold settle the cluster as a
// planner of everything does, and plan the same where there is one service.
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
			assert.Equal(t, len(byHolder(table, 4)), len(placement.PlanMoves(table, 4)))
		}
		c.settleBy(4, byHolder)
		checkSettled(t, c, cfg)
	})
}
