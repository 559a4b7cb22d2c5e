package keyrange

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Applying the difference of two tables to the first gives the second, and a difference
// for another table is refused or changes nothing that it does not name.
func TestDiffLeadsToTheNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(from Table) Table {
			out := from
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				a := rapid.Uint16().Draw(t, "from")
				b := rapid.Uint16Range(a, uint16(MaxKey)).Draw(t, "to")
				o := owner(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"))
				out = out.withRow(Row{Span: Span{Key(a), Key(b)}, Owner: o, Fence: uint64(rapid.IntRange(1, 5).Draw(t, "fence"))})
			}
			return out
		}
		before := draw(Table{})
		after := draw(before)
		after.Witnesses = []ident.Host{"a"}
		got, err := before.Apply(before.Diff(after))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Rows, after.Rows)
		assert.DeepEqual(t, got.Witnesses, after.Witnesses)
	})
}

func TestDiffOfAnotherTableIsRefused(t *testing.T) {
	one := Table{}.withRow(Row{Span: Span{0, 99}, Owner: owner("a"), Fence: 1})
	two := one.withRow(Row{Span: Span{0, 99}, Owner: owner("b"), Fence: 2})
	_, err := Table{}.Apply(one.Diff(two))
	assert.ErrorIs(t, err, ErrDiffMismatch)
	_, err = Table{}.withRow(Row{Span: Span{50, 60}, Owner: owner("a"), Fence: 1}).Apply(Table{}.Diff(one))
	assert.ErrorIs(t, err, ErrDiffMismatch)
}
