package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	snapshotInterval = 2 * time.Hour // between snapshots while records arrive
	snapshotRecords  = 1 << 14       // records after which a snapshot is due at once
	snapshotChunk    = 64 << 10      // bytes in one record
	snapshotCheck    = time.Second
	firstSnapshot    = 10 * time.Second // after a leader took over
	boundsTimeout    = time.Second
	expiringPart     = 4 // one part in so many of the kept records may be gone soon
)

// snapshots is the leader's duty to write the state into the log well before
// the records that it was folded from are gone.
func (n *node) snapshots(ctx context.Context) error {
	t := time.NewTicker(snapshotCheck)
	defer t.Stop()
	due := n.clock.Now().Add(firstSnapshot)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		leader, term := n.follower.Table().Leader()
		if leader != n.self {
			due = n.clock.Now().Add(firstSnapshot)
			continue
		}
		if n.snapshotDue(ctx, due) && n.writeSnapshot(ctx, term) {
			due = n.clock.Now().Add(snapshotInterval)
		}
	}
}

// snapshotDue reports whether the time has come, many records have arrived since
// the newest snapshot, or a daemon could soon not start from it any more.
func (n *node) snapshotDue(ctx context.Context, due ident.Instant) bool {
	if !n.recorder.LogAvailable() {
		return false
	}
	at, _ := n.follower.NewestSnapshotOffset()
	if n.follower.Table().NextOffset()-at >= snapshotRecords || !n.clock.Now().Before(due) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, boundsTimeout)
	defer cancel()
	kept, err := n.follower.LogBounds(ctx)
	return err == nil && expires(at, kept)
}

// expires reports whether the records that continue a snapshot are gone or are
// among the oldest kept. While the first record is kept none is needed.
func expires(at ident.Offset, kept logservice.Bounds) bool {
	if kept.Oldest == 0 {
		return false
	}
	return at < kept.Oldest+(kept.Next-kept.Oldest)/expiringPart
}

func (n *node) writeSnapshot(ctx context.Context, term ident.Term) bool {
	data, at, err := n.follower.Snapshot()
	if err != nil {
		n.log.Error("snapshot_failed", zap.Error(err))
		return false
	}
	chunks := ownership.SplitSnapshot(term, at, data, snapshotChunk)
	bodies := make([]record.Body, len(chunks))
	for i, c := range chunks {
		bodies[i] = c
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := n.recorder.Record(ctx, bodies...); err != nil {
		n.log.Warn("snapshot_not_recorded", zap.Error(err))
		return false
	}
	n.log.Info("snapshot_recorded", zap.Uint64("at", uint64(at)), zap.Int("chunks", len(chunks)), zap.Int("bytes", len(data)))
	return true
}
