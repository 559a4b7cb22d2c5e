package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFillIsCloseToListScheduling compares fillLevels with list scheduling, which
// gives pieces of work one by one to the slot that is free first.
func TestFillIsCloseToListScheduling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fluid := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 1000).Draw(t, "free"))
		}), 1, 6).Draw(t, "slots")
		slices.Sort(fluid)
		scheduled := slices.Clone(fluid)
		n := rapid.IntRange(0, 40).Draw(t, "pieces")
		const piece = 60
		for range n {
			scheduled[0] += piece
			slices.Sort(scheduled)
		}
		fillLevels(fluid, time.Duration(n)*piece)
		assert.Assert(t, slices.IsSorted(fluid))
		assert.Assert(t, scheduled[0]-piece <= fluid[0] && fluid[0] <= scheduled[0]+piece, "%v against %v", fluid, scheduled)
	})
}
