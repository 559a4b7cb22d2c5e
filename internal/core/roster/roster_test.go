package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

func entry(incarnation ident.Incarnation, seq uint64) Entry {
	return Entry{Member: ident.Member{Host: "h", Incarnation: incarnation}, Seq: seq}
}

// The clock of a host is set back by an hour while its daemon restarts. Its peers
// must accept the new process once the previous one has been silent for
// supersedeAfter; they used to ignore it for the whole hour.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := New("self")
	assert.Assert(t, r.Merge(entry(5000, 9), now))
	assert.Assert(t, !r.Merge(entry(1000, 1), now.Add(time.Second)), "the known process may still live")
	r.MarkAlive(entry(5000, 9).Member, now.Add(2*time.Second))
	assert.Assert(t, !r.Merge(entry(1000, 2), now.Add(supersedeAfter)))
	assert.Assert(t, r.Merge(entry(1000, 3), now.Add(2*time.Second+supersedeAfter)))
	p, _ := r.Get("h")
	assert.Equal(t, p.Member.Incarnation, ident.Incarnation(1000))
}

// An entry that the log service still lists from before a restart must not prevent
// a live process from being added.
func TestLiveProcessReplacesListedEntry(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := New("self")
	assert.Assert(t, r.AddListed(entry(5000, 0)))
	assert.Assert(t, r.Merge(entry(1000, 1), now))
	assert.Assert(t, !r.AddListed(entry(900, 0)))
}

func TestEntriesOutOfOrder(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := New("self")
	assert.Assert(t, r.Merge(entry(1, 2), now))
	assert.Assert(t, !r.Merge(entry(1, 1), now.Add(time.Minute)), "an earlier entry of the same process")
	assert.Assert(t, r.Merge(entry(2, 1), now))
}
