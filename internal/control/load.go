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

// load builds the state from the stream as it is now: from the newest usable
// snapshot that the kept records continue, or from the first record. It reads
// the stream twice and never holds more than one read of it.
func (f *Follower) load(ctx context.Context) error {
	b, err := f.log.Bounds(ctx, logservice.ControlStream)
	if err != nil {
		return fmt.Errorf("bounds of the control stream: %w", err)
	}
	start, err := f.findBase(ctx, b)
	if err != nil {
		return err
	}
	err = f.readRange(ctx, start.at, b.Next, func(entries []logservice.Entry) { f.applyAll(start.state, entries) })
	if err != nil {
		return err
	}
	f.replaceState(start)
	f.lastRead.Store(int64(f.clock.Now()))
	f.catchUp.Do(func() { close(f.caughtUp) })
	f.logger.Info("state_loaded", zap.Uint64("from", uint64(start.at)), zap.Uint64("next", uint64(b.Next)))
	f.onChange()
	return nil
}

// base is a state to start from and the first offset to fold into it.
type base struct {
	state *ownership.State
	at    ident.Offset
}

// findBase returns the newest usable snapshot of the stream, or the empty state
// if the first record is still kept.
func (f *Follower) findBase(ctx context.Context, b logservice.Bounds) (base, error) {
	var found base
	asm := ownership.NewAssembler()
	err := f.readRange(ctx, b.Oldest, b.Next, func(entries []logservice.Entry) {
		for _, e := range entries {
			if s, at := f.snapshotAt(asm, e); s != nil && at >= b.Oldest {
				found = base{state: s, at: at}
			}
		}
	})
	if err != nil {
		return base{}, err
	}
	if found.state != nil {
		return found, nil
	}
	if b.Oldest > 0 {
		return base{}, fmt.Errorf("no usable snapshot: records before offset %d are gone", b.Oldest)
	}
	s, err := f.newState(nil)
	return base{state: s}, err
}

// snapshotAt gives an entry to the assembler and returns the state of the
// snapshot that it completes, nil if it completes none that can be restored.
func (f *Follower) snapshotAt(asm *ownership.Assembler, e logservice.Entry) (*ownership.State, ident.Offset) {
	env, err := record.Decode(e.Data)
	if err != nil {
		return nil, 0
	}
	c, ok := env.Body.(*record.SnapshotChunk)
	if !ok || !asm.AddChunk(c) {
		return nil, 0
	}
	data, at, _ := asm.NewestSnapshot()
	s, err := f.newState(data)
	if err != nil {
		f.logger.Error("snapshot_unusable", zap.Uint64("at", uint64(at)), zap.Error(err))
		return nil, 0
	}
	return s, at
}

// readRange passes the entries from an offset up to another to visit.
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

// applyAll folds entries into a state that is not yet in use.
func (f *Follower) applyAll(s *ownership.State, entries []logservice.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.apply(s, e)
	}
}

// replaceState puts a loaded state into use. Where it begins after the next
// record to fold, the outcomes of the records between are lost.
func (f *Follower) replaceState(loaded base) {
	f.mu.Lock()
	defer f.mu.Unlock()
	skipped := loaded.at > f.state.NextOffset()
	f.state = loaded.state
	f.publish()
	if !skipped {
		return
	}
	for seq, ch := range f.expects {
		delete(f.expects, seq)
		close(ch)
	}
}
