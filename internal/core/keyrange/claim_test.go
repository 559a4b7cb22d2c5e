package keyrange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Load pattern: all hosts lose power and start again. Each of 35 owners claims its rows, and
// each write replaces the one table, so that 35 writes had to follow one another. The first
// write claims for all that are ready; one that is not, or is not known yet, claims itself.
func TestFirstClaimServesAllRestartedOwners(t *testing.T) {
	const owners = 35
	now := ident.Instant(time.Hour)
	var before Table
	var after []Candidate
	for i := range owners {
		o := owner(fmt.Sprintf("h%02d", i))
		from := Key(i * 1000)
		before.Rows = append(before.Rows, Row{Span: Span{from, from + 999}, Owner: o, Fence: 1, TransferToken: "token"})
		o.Member.Incarnation++
		o.Instance.StartedMS++
		after = append(after, candidate(o))
	}
	after[7].Ready = false
	agent := NewAgent(testConfig(), after[0].Owner.Member, now)
	agent.ApplyRead(before, 5, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: after[0].Owner.Instance, Sequence: 1}, now)
	w := agent.Tick(now, after)
	assert.Assert(t, w != nil && w.Reason == "claim")
	for i, r := range w.Table.Rows {
		if i == 7 {
			assert.Equal(t, r, before.Rows[7])
			continue
		}
		assert.Equal(t, r.Owner, after[i].Owner)
		assert.Assert(t, r.Fence > 1 && r.TransferToken == "", "%+v", r)
	}

	// A daemon that has no rows to claim leaves those of others alone.
	agent = NewAgent(testConfig(), after[0].Owner.Member, now)
	agent.ApplyRead(Table{Rows: before.Rows[1:]}, 5, now, now)
	agent.HandleHeartbeat(Heartbeat{Instance: after[0].Owner.Instance, Sequence: 1}, now)
	assert.Assert(t, agent.reclaimRows(now, after) == nil)
}
