package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
)

func newTestOwnership(clock *manualClock, host ident.Host) *ownership {
	return &ownership{
		follower: sharedread.NewFollower(sharedread.DefaultConfig(), host), followers: map[ident.Host]ident.Instant{"f": clock.now},
		readTable: map[ident.Service]versionedTable{}, tables: map[ident.Service]versionedTable{},
		clock: clock, log: zap.NewNop(), synced: true,
		agents: map[ident.Service]*keyrange.Agent{"s": keyrange.NewAgent(keyrange.Config{}, ident.Member{Host: host, Incarnation: 1}, clock.now)},
	}
}

// A follower learns each table from its source's differences, also if the source had
// received the table from its writer before it read it. It ignores a difference to a
// table that it does not have.
func TestFollowerLearnsTablesFromDifferences(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	source, follower := newTestOwnership(clock, "a"), newTestOwnership(clock, "f")
	read := func(owner string, at ident.Offset) readForward {
		to, m := source.applyRead(encodedEntry(t, tableOwnedBy(owner, uint64(at)+1), at), at+1, clock.now, clock.now)
		assert.DeepEqual(t, to, []ident.Host{"f"})
		return m
	}
	ownerIs := func(want string) {
		t.Helper()
		row, ok := follower.ownerOf("s", 1)
		assert.Assert(t, ok)
		assert.Equal(t, row.Owner.Member.Host, ident.Host(want))
	}
	follower.handleReadForward(read("a", 0))
	ownerIs("a")
	source.handleTableUpdate("w", tableUpdate{Service: "s", EndOffset: 2, Table: tableOwnedBy("b", 2)})
	follower.handleReadForward(read("b", 1))
	ownerIs("b")
	source.handleTableUpdate("w", tableUpdate{Service: "s", EndOffset: 4, Table: tableOwnedBy("d", 4)})
	follower.handleReadForward(read("c", 2)) // the source has a newer table already
	ownerIs("c")
	follower.handleReadForward(read("d", 3))
	ownerIs("d")
	read("a", 4) // lost
	follower.handleReadForward(read("b", 5))
	ownerIs("d")
	assert.Equal(t, follower.nextOffset, ident.Offset(4))
}

// A shared read renews the lease from its own instant, and only if it ended where the
// follower is.
func TestSharedReadRenewsTheLease(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	o := newTestOwnership(clock, "h05")
	o.applyRead(encodedEntry(t, tableOwnedBy("a", 1), 0), 1, clock.now, clock.now)
	members := []sharedread.Member{{Host: "h00", Reachable: true}, {Host: "h01"}, {Host: "h02"}, {Host: "h05", Reachable: true}}
	source, m, ok := o.startReadRequest(members)
	assert.Assert(t, ok)
	assert.Equal(t, source, ident.Host("h00"))
	asked := clock.now
	clock.now = clock.now.Add(400 * time.Millisecond)
	o.handleReadAnswer("h00", readAnswer{Seq: m.Seq, Next: 2, AgeMS: 0})
	assert.Equal(t, o.readSent, asked, "the source has read more than this daemon")
	o.handleReadAnswer("h00", readAnswer{Seq: m.Seq, Next: 1, AgeMS: -5})
	assert.Equal(t, o.readSent, asked)
	_, m, _ = o.startReadRequest(members)
	o.handleReadAnswer("h00", readAnswer{Seq: m.Seq, Next: 1, AgeMS: 100})
	assert.Equal(t, o.readSent, clock.now.Add(-102*time.Millisecond))
}
