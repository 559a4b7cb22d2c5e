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

// A new process of a daemon that knew nothing of its server's leave announced the server as
// ready, and all daemons sent requests to it again.
func TestServerThatLeftIsNotReadyAgain(t *testing.T) {
	now := ident.Instant(time.Hour)
	with := func(e Entry, s State, startedMS int64) Entry {
		e.Server = Server{Instance: Instance{ID: "i", StartedMS: startedMS}, State: s}
		return e
	}
	r := New("self")
	r.Merge(with(entry(1, 1), Ready, 7), now)
	r.Merge(with(entry(1, 2), Draining, 7), now)
	r.Merge(with(entry(2, 1), Ready, 7), now.Add(time.Second))
	p, _ := r.Get("h")
	assert.Equal(t, p.Server.State, Draining)
	assert.Equal(t, p.ReadySince, ident.Instant(0))
	d, ok := r.Departures("h").Of(Instance{ID: "i", StartedMS: 7}, now)
	assert.Assert(t, ok && d.Since == now)

	r.Merge(with(entry(2, 2), Ready, 8), now.Add(2*time.Second))
	p, _ = r.Get("h")
	assert.Equal(t, p.Server.State, Ready, "another instance under the same id")
}

// The departure of another instance on the host, by a heartbeat of another writer, made the
// daemons forget that of the server: once it was heard of again, it was ready.
func TestDepartureOutlivesThatOfAnotherInstance(t *testing.T) {
	now := ident.Instant(time.Hour)
	e := entry(1, 1)
	e.Server = Server{Instance: Instance{ID: "i", StartedMS: 7}, State: Draining}
	r := New("self")
	r.Merge(e, now)
	for seq, s := range []Server{{Instance: Instance{ID: "x", StartedMS: 9}, State: Draining}, {Instance: Instance{ID: "i", StartedMS: 7}, State: Ready}} {
		e.Seq, e.Server = uint64(seq+2), s
		r.Merge(e, now.Add(time.Second))
	}
	p, _ := r.Get("h")
	assert.Equal(t, p.Server.State, Draining)
	d, ok := r.Departures("h").Of(p.Server.Instance, now)
	assert.Assert(t, ok && d.Since == now, "it counts from its first notice on")

	for i := range 2 * maxDepartures {
		r.RecordDeparture("h", Departure{Instance: Instance{ID: "y", StartedMS: int64(i)}, Since: now})
	}
	assert.Equal(t, len(r.Departures("h")), maxDepartures)
}

// A departure that is found in the store changes an entry that was merged before.
func TestRecordedDepartureChangesKnownEntry(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := New("self")
	e := entry(1, 1)
	e.Server = Server{Instance: Instance{ID: "i", StartedMS: 7}, State: Ready}
	r.Merge(e, now)
	r.RecordDeparture("h", Departure{Instance: Instance{ID: "i", StartedMS: 9}, AnyStart: true, Since: now})
	p, _ := r.Get("h")
	assert.Equal(t, p.Server.State, Draining, "an instance that started before the announcement")
	assert.Assert(t, !Departure{Instance: Instance{ID: "i", StartedMS: 9}, AnyStart: true}.Covers(Instance{ID: "i", StartedMS: 10}))
	assert.Assert(t, !Departure{}.Covers(Instance{}))
}

// The time of day is set back, and another instance starts under the id of one that left while
// its start was not known. It must not be taken for the one that left for good.
func TestDepartureOfUnknownStartExpires(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := New("self")
	r.RecordDeparture("h", Departure{Instance: Instance{ID: "i", StartedMS: 9000}, AnyStart: true, Since: now})
	e := entry(1, 1)
	e.Server = Server{Instance: Instance{ID: "i", StartedMS: 8000}, State: Ready}
	r.Merge(e, now.Add(time.Second))
	p, _ := r.Get("h")
	assert.Equal(t, p.Server.State, Draining, "a late heartbeat")
	e.Seq++
	r.Merge(e, now.Add(anyStartValidity+time.Second))
	p, _ = r.Get("h")
	assert.Equal(t, p.Server.State, Ready)
}
