package control

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// snapshotTracker notes which snapshot is the newest complete one among the
// chunks it is shown, without keeping their data. The chunks of a snapshot are
// one batch, so at most one snapshot is gathered at a time.
type snapshotTracker struct {
	at ident.Offset
	ok bool

	partial record.SnapshotChunk // identity of the snapshot being gathered
	seen    map[uint32]struct{}
}

// add notes one chunk.
func (t *snapshotTracker) add(c *record.SnapshotChunk) {
	if c.Index >= c.Count || (t.ok && c.NextOffset <= t.at) {
		return
	}
	p := &t.partial
	if t.seen == nil || p.NextOffset != c.NextOffset || p.Digest != c.Digest || p.Count != c.Count {
		t.partial = record.SnapshotChunk{NextOffset: c.NextOffset, Digest: c.Digest, Count: c.Count}
		t.seen = map[uint32]struct{}{}
	}
	t.seen[c.Index] = struct{}{}
	if len(t.seen) == int(c.Count) {
		t.at, t.ok, t.seen = c.NextOffset, true, nil
	}
}
