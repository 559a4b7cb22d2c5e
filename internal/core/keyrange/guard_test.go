package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func tableWithWitnesses() (a, b Owner, t Table) {
	a, b = owner("a"), owner("b")
	return a, b, Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: b, Fence: 1}}, Witnesses: []ident.Host{"a", "c", "d"}}
}

// A witness that has restarted does not know which support its previous process
// gave, and consents only after any such support has expired.
func TestRestartedWitnessConsentsLate(t *testing.T) {
	a, b, table := tableWithWitnesses()
	cfg := testConfig()
	now := ident.Instant(time.Hour)
	witness := NewAgent(cfg, a.Member, now)
	table.Suspects = []Suspicion{{Member: b.Member, Reporter: "c", Fence: 2}}
	witness.ApplyRead(table, 2, now, now)
	end := now.Add(cfg.withDrift(cfg.SupportDuration))
	assert.Equal(t, len(witness.Consents(end)), 0, "the predecessor's support may still count")
	assert.Equal(t, len(witness.Consents(end.Add(time.Millisecond))), 1)
}

// A witness that reads the table for the first time does not know which keys an
// owner lost before. An owner that has not read as far may go on with keys that
// belong to others.
func TestWitnessSupportsNoOwnerBehindItsFirstRead(t *testing.T) {
	a, b, table := tableWithWitnesses()
	now := ident.Instant(time.Hour)
	witness := NewAgent(testConfig(), a.Member, now)
	assert.Assert(t, !witness.GrantSupport(b.Member, 9, now), "it has read nothing")
	witness.ApplyRead(table, 9, now, now)
	assert.Assert(t, !witness.GrantSupport(b.Member, 8, now))
	assert.Assert(t, witness.GrantSupport(b.Member, 9, now))
}
