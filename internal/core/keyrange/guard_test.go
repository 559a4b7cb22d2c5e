package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func guarded() (a, b Owner, t Table) {
	a, b = owner("a"), owner("b")
	return a, b, Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: b, Fence: 1}}, Witnesses: []ident.Host{"a", "c", "d"}}
}

// A guard that has started again does not know what its predecessor promised, and
// consents only once that has run out in any case.
func TestRestartedGuardConsentsLate(t *testing.T) {
	a, b, table := guarded()
	cfg := testConfig()
	now := ident.Instant(time.Hour)
	guard := NewAgent(cfg, a.Member, now)
	table.Suspects = []Suspicion{{Member: b.Member, Reporter: "c", Fence: 2}}
	guard.ApplyRead(table, 2, now, now)
	end := now.Add(cfg.stretched(cfg.SupportDuration))
	assert.Equal(t, len(guard.Consents(end)), 0, "the predecessor's support may still count")
	assert.Equal(t, len(guard.Consents(end.Add(time.Millisecond))), 1)
}

// A guard that reads the table for the first time does not know what an owner lost
// before: one that has not read as far may go on with keys of others.
func TestGuardSupportsNobodyFromBeforeItsFirstRead(t *testing.T) {
	a, b, table := guarded()
	now := ident.Instant(time.Hour)
	guard := NewAgent(testConfig(), a.Member, now)
	assert.Assert(t, !guard.GrantSupport(b.Member, 9, now), "it has read nothing")
	guard.ApplyRead(table, 9, now, now)
	assert.Assert(t, !guard.GrantSupport(b.Member, 8, now))
	assert.Assert(t, guard.GrantSupport(b.Member, 9, now))
}
