package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

type (
	domains = []ident.FailureDomain
	sinces  = []ident.Instant
)

// A daemon that was cut off hears of orders late, twice and from several others. The newest
// must win whatever the order of arrival, and one must not undo another.
func TestNewestOrderWins(t *testing.T) {
	var tr Tracker
	assert.DeepEqual(t, tr.Read(domains{"a"}, 5, 10, 0), Change{Began: domains{"a"}})
	assert.DeepEqual(t, tr.Record("b", true, 5, 20), Change{Began: domains{"b"}})
	assert.Assert(t, tr.Record("a", false, 4, 20).Empty(), "a record from before the read")
	assert.Assert(t, tr.Merge(State{At: 5}, nil, 30).Empty(), "an older state of another daemon")
	assert.Assert(t, tr.Merge(State{At: 9, Domains: make(domains, 1)}, make(sinces, 1), 30).Empty(), "a domain without a name")
	assert.DeepEqual(t, tr.Merge(State{At: 8, Domains: domains{"b", "c"}}, sinces{25, 15}, 30), Change{Began: domains{"c"}, Ended: domains{"a"}})
	since, ok := tr.Since("b")
	assert.Assert(t, ok && since == 20)
	since, _ = tr.Since("c")
	assert.Equal(t, since, ident.Instant(15))
	tr.Merge(State{At: 8, Domains: domains{"b", "c"}}, sinces{5, 30}, 40)
	since, _ = tr.Since("b")
	assert.Equal(t, since, ident.Instant(5), "the answer of the store was held up")
	assert.Assert(t, tr.Record("a", true, 6, 40).Empty(), "the poll catches up with what the other daemon told")
	assert.DeepEqual(t, tr.Record("b", false, 8, 40), Change{Ended: domains{"b"}})
	s, _ := tr.State()
	assert.DeepEqual(t, s, State{At: 9, Domains: domains{"c"}})
}

// The store comes back from a copy that lacks the order. The operator was told that it is in
// force, so that it stays until it is taken back, also where daemons that have read the copy
// alone tell of none.
func TestRestoredStoreEndsNoEvacuation(t *testing.T) {
	var tr Tracker
	tr.Read(domains{"a", "b"}, 9, 0, 0)
	restored := ident.OffsetIn(1, 4)
	assert.Assert(t, tr.Read(domains{"b"}, restored, 0, 0).Empty())
	assert.Assert(t, tr.Merge(State{At: restored}, nil, 0).Empty())
	var fresh Tracker
	fresh.Read(domains{"b"}, restored, 0, 0)
	s, ok := tr.State()
	assert.Assert(t, ok)
	assert.DeepEqual(t, fresh.Merge(s, make(sinces, len(s.Domains)), 0), Change{Began: domains{"a"}})
	var told Tracker
	told.Merge(s, make(sinces, len(s.Domains)), 0)
	assert.Assert(t, told.Read(domains{"b"}, restored, 0, 0).Empty(), "told before it read the store")
	assert.DeepEqual(t, tr.Record("a", false, restored, 0), Change{Ended: domains{"a"}})
}

// An offset that no store has reached, from a faulty daemon, kept every later order from being
// followed. The store's word counts again once it has been asked after that, and the same
// claim does not count twice; that of a daemon that has read more than this one does.
func TestOffsetBeyondTheStoreIsRefused(t *testing.T) {
	var tr Tracker
	tr.Read(domains{"a"}, 5, 0, 1)
	absurd := State{At: ident.OffsetIn(1<<20, 7), Domains: domains{"z"}}
	tr.Merge(absurd, make(sinces, 1), 10)
	assert.Assert(t, !tr.Contradicts(5, 9), "the store was asked before")
	assert.Assert(t, tr.Contradicts(6, 11))
	assert.DeepEqual(t, tr.Read(domains{"b"}, 6, 0, 11), Change{Began: domains{"b"}, Ended: domains{"z"}})
	assert.Assert(t, tr.Merge(absurd, make(sinces, 1), 12).Empty())
	assert.DeepEqual(t, tr.Merge(State{At: 9, Domains: domains{"b", "c"}}, make(sinces, 2), 13), Change{Began: domains{"c"}})
	assert.Assert(t, !tr.Contradicts(9, 14))
	assert.DeepEqual(t, tr.Record("b", false, 9, 20), Change{Ended: domains{"b"}})
}

// Keys move in about three heartbeats of their servers, so that a server serves those that it
// still holds a while longer; in the last fifth of the time nothing may reach it.
func TestRequestsEndBeforeTheBound(t *testing.T) {
	const applyTime = 5 * time.Second
	at := func(d time.Duration) ident.Instant { return ident.Instant(time.Hour).Add(d) }
	assert.Assert(t, !Refuses(false, at(0), at(300*time.Millisecond), applyTime))
	assert.Assert(t, Refuses(false, at(0), at(1100*time.Millisecond), applyTime))
	assert.Assert(t, !Refuses(true, at(0), at(2500*time.Millisecond), applyTime))
	assert.Assert(t, Refuses(true, at(0), at(applyTime*4/5), applyTime))
}
