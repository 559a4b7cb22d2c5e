package keyrange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

func owner(host string) Owner {
	return Owner{ident.Member{Host: ident.Host(host), Incarnation: 1}, roster.Life{ID: host, Born: 1}}
}

func candidate(o Owner) Candidate { return Candidate{Owner: o, Ready: true, Alive: true, Slots: 10} }

// A write of unclear outcome that gives keys away may have been appended, also
// when the same write sent again is refused: the keys are not granted before a
// read shows whose they are. Found by TestNoTwoServersHoldAKey.
func TestKeysOfAnUnclearWriteAreNotGranted(t *testing.T) {
	a, b := owner("a"), owner("b")
	now := ident.Instant(time.Hour)
	agent := NewAgent(testConfig(), a.Member, now)
	all := Table{Rows: []Row{{Span: Span{0, MaxKey}, Owner: a, Fence: 1}}}
	agent.Read(all, 1, now, now)
	agent.Beat(Beat{Life: a.Life, Sequence: 1}, now)
	agent.gifts = []gift{{Span: Span{0, 99}, to: b}}
	agent.Beat(Beat{Life: a.Life, Sequence: 2, Held: []Held{{Span{0, MaxKey}, 1}}}, now)
	agent.Beat(Beat{Life: a.Life, Sequence: 3, Held: []Held{{Span{100, MaxKey}, 1}}, Freed: []Freed{{Span{0, 99}, "token"}}}, now)

	both := []Candidate{candidate(a), candidate(b)}
	w := agent.Tick(now, both)
	assert.Equal(t, w.Reason, "balance")
	agent.Wrote(*w, Unclear, now, now)
	again := agent.Tick(now, both)
	agent.Wrote(*again, Refused, now, now)
	agent.Tick(now, []Candidate{candidate(a)}) // the receiver cannot be reached
	g := agent.Beat(Beat{Life: a.Life, Sequence: 4}, now)
	for _, r := range g.Rows {
		assert.Assert(t, !r.Has(0), "key 0 is granted by %+v", r)
	}

	agent.Read(w.Table, w.At+1, now, now)
	row, _ := agent.table.Find(0)
	assert.Equal(t, row.Owner, b)
	assert.Equal(t, row.Handover, "token")
}
