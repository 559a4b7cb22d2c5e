package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

func tableOwnedBy(host string, fence uint64) keyrange.Table {
	o := keyrange.Owner{Member: ident.Member{Host: ident.Host(host), Incarnation: 1}}
	return keyrange.Table{Rows: []keyrange.Row{{Span: keyrange.Span{To: keyrange.MaxKey}, Owner: o, Fence: fence}}}
}

func encodedEntry(t *testing.T, table keyrange.Table, at ident.Offset) []logservice.KeyedEntry {
	data, err := codec.Marshal(table)
	assert.NilError(t, err)
	return []logservice.KeyedEntry{{Key: "s", Value: data, Offset: at}}
}

// A table received from a peer must not be replaced by an older one, neither by the
// result of a read that was in progress nor by a message that arrives late.
func TestOlderTableDoesNotReplaceNewer(t *testing.T) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	o := &ownership{
		follower: sharedread.NewFollower(sharedread.DefaultConfig(), "h"), followers: map[ident.Host]ident.Instant{}, readTable: map[ident.Service]versionedTable{},
		clock: clock, log: zap.NewNop(), synced: true, tables: map[ident.Service]versionedTable{},
		agents: map[ident.Service]*keyrange.Agent{"s": keyrange.NewAgent(keyrange.Config{}, ident.Member{Host: "h", Incarnation: 1}, clock.now)},
	}
	ownerIs := func(want string) {
		t.Helper()
		row, ok := o.ownerOf("s", 1)
		assert.Assert(t, ok)
		assert.Equal(t, row.Owner.Member.Host, ident.Host(want))
	}
	o.applyEntries(encodedEntry(t, tableOwnedBy("a", 1), 0), 1, clock.now, clock.now)
	o.handleTableUpdate("b", tableUpdate{Service: "s", EndOffset: 3, Table: tableOwnedBy("c", 3)})
	ownerIs("c")
	o.applyEntries(encodedEntry(t, tableOwnedBy("b", 2), 1), 2, clock.now, clock.now)
	ownerIs("c")
	o.handleTableUpdate("b", tableUpdate{Service: "s", EndOffset: 2, Table: tableOwnedBy("b", 2)})
	ownerIs("c")
	o.applyEntries(encodedEntry(t, tableOwnedBy("d", 4), 3), 4, clock.now, clock.now)
	ownerIs("d")
	invalid := tableOwnedBy("a", 5)
	invalid.Rows = append(invalid.Rows, invalid.Rows[0])
	o.handleTableUpdate("b", tableUpdate{Service: "s", EndOffset: 9, Table: invalid})
	ownerIs("d")
}
