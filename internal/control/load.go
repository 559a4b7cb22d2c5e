package control

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// loadState builds the state from the records that the stream holds now. It
// starts from the newest usable snapshot that the kept records continue, or
// from the first record if the stream still holds it. It reads the stream twice
// and keeps at most one read in memory.
func (f *Follower) loadState(ctx context.Context) error {
	b, err := f.log.Bounds(ctx, logservice.ControlStream)
	if err != nil {
		return fmt.Errorf("bounds of the control stream: %w", err)
	}
	start, err := f.findStartState(ctx, b)
	if err != nil {
		return err
	}
	err = f.readRange(ctx, start.nextOffset, b.Next, func(entries []logservice.Entry) { f.applyEntries(start.state, entries) })
	if err != nil {
		return err
	}
	f.replaceState(start)
	f.lastRead.Store(int64(f.clock.Now()))
	f.caughtUpOnce.Do(func() { close(f.caughtUp) })
	f.logger.Info("state_loaded", zap.Uint64("from", uint64(start.nextOffset)), zap.Uint64("next", uint64(b.Next)))
	f.onChange()
	return nil
}

// startState is a state to start from and the offset of the first record to
// fold into it.
type startState struct {
	state      *ownership.State
	nextOffset ident.Offset
}

// findStartState returns the newest usable snapshot in the stream, or the empty
// state if the stream still holds the first record.
func (f *Follower) findStartState(ctx context.Context, b logservice.Bounds) (startState, error) {
	var found startState
	asm := ownership.NewAssembler()
	err := f.readRange(ctx, b.Oldest, b.Next, func(entries []logservice.Entry) {
		for _, e := range entries {
			if s, at := f.restoreCompletedSnapshot(asm, e); s != nil && at >= b.Oldest {
				found = startState{state: s, nextOffset: at}
			}
		}
	})
	if err != nil {
		return startState{}, err
	}
	if found.state != nil {
		return found, nil
	}
	if b.Oldest > 0 {
		return startState{}, fmt.Errorf("no usable snapshot: records before offset %d are gone", b.Oldest)
	}
	s, err := f.buildState(nil)
	return startState{state: s}, err
}

// restoreCompletedSnapshot adds an entry to the assembler. If the entry
// completes a snapshot, it returns the restored state and its next offset. It
// returns nil if the entry completes no snapshot or the snapshot cannot be
// restored.
func (f *Follower) restoreCompletedSnapshot(asm *ownership.Assembler, e logservice.Entry) (*ownership.State, ident.Offset) {
	env, err := record.Decode(e.Data)
	if err != nil {
		return nil, 0
	}
	c, ok := env.Body.(*record.SnapshotChunk)
	if !ok || !asm.AddChunk(c) {
		return nil, 0
	}
	data, at, _ := asm.NewestSnapshot()
	s, err := f.buildState(data)
	if err != nil {
		f.logger.Error("snapshot_unusable", zap.Uint64("at", uint64(at)), zap.Error(err))
		return nil, 0
	}
	return s, at
}

// readRange calls visit with the entries of each read, from the offset from up
// to but excluding to.
func (f *Follower) readRange(ctx context.Context, from, to ident.Offset, visit func([]logservice.Entry)) error {
	for from < to {
		entries, err := f.log.Read(ctx, logservice.ControlStream, from, readLimit)
		if err != nil {
			return fmt.Errorf("load from offset %d: %w", from, err)
		}
		if len(entries) == 0 {
			return fmt.Errorf("load from offset %d: no record before %d", from, to)
		}
		visit(entries)
		from = entries[len(entries)-1].Offset + 1
	}
	return nil
}

// applyEntries folds entries into a state that is not published yet.
func (f *Follower) applyEntries(s *ownership.State, entries []logservice.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.applyEntry(s, e)
	}
}

// replaceState publishes a loaded state. If the load started after the next
// record to fold, the outcomes of the skipped records are lost, and all
// channels of outcome waiters are closed.
func (f *Follower) replaceState(loaded startState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	skipped := loaded.nextOffset > f.state.NextOffset()
	f.state = loaded.state
	f.publishTable()
	if !skipped {
		return
	}
	for seq, ch := range f.outcomeWaiters {
		delete(f.outcomeWaiters, seq)
		close(ch)
	}
}
