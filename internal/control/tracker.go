package control

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// snapshotTracker finds the newest complete snapshot among the chunks that it
// receives, without keeping their data. The chunks of a snapshot are appended
// as one batch, so at most one snapshot is incomplete at a time.
type snapshotTracker struct {
	nextOffset ident.Offset // of the newest complete snapshot; valid if found is true
	found      bool

	partial        record.SnapshotChunk // identity of the incomplete snapshot
	receivedChunks map[uint32]struct{}  // indexes of the chunks of the incomplete snapshot
}

// addChunk processes one chunk. A chunk of another snapshot replaces the
// incomplete one.
func (t *snapshotTracker) addChunk(c *record.SnapshotChunk) {
	if c.Index >= c.Count || (t.found && c.NextOffset <= t.nextOffset) {
		return
	}
	p := &t.partial
	if t.receivedChunks == nil || p.NextOffset != c.NextOffset || p.Digest != c.Digest || p.Count != c.Count {
		t.partial = record.SnapshotChunk{NextOffset: c.NextOffset, Digest: c.Digest, Count: c.Count}
		t.receivedChunks = map[uint32]struct{}{}
	}
	t.receivedChunks[c.Index] = struct{}{}
	if len(t.receivedChunks) == int(c.Count) {
		t.nextOffset, t.found, t.receivedChunks = c.NextOffset, true, nil
	}
}
