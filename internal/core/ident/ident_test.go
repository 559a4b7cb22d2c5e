package ident_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// TestEpochOrdersByAssignmentThenClaim checks that an epoch keeps its assignment and
// claim, and that a server which refuses smaller epochs refuses former owners.
func TestEpochOrdersByAssignmentThenClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a1 := ident.Assignment(rapid.Uint32().Draw(t, "a1"))
		a2 := ident.Assignment(rapid.Uint32().Draw(t, "a2"))
		c1 := ident.Claim(rapid.Uint32().Draw(t, "c1"))
		c2 := ident.Claim(rapid.Uint32().Draw(t, "c2"))
		e1, e2 := ident.NewEpoch(a1, c1), ident.NewEpoch(a2, c2)
		assert.Equal(t, e1.Assignment(), a1)
		assert.Equal(t, e1.Claim(), c1)
		want := a1 < a2 || (a1 == a2 && c1 < c2)
		assert.Equal(t, e1 < e2, want)
	})
}
