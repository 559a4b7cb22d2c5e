// Package control connects a daemon to the control stream of the log service.
// The Follower reads the stream and folds its records into the ownership table;
// it starts from the newest usable snapshot in the stream and reloads after the
// log was truncated. The Recorder appends the records of this member in batches
// and returns once they are folded here. Invariant: each record of a member
// takes effect at most once, in the order of its sequence number, even if its
// append is repeated.
package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	readLimit       = 2048                   // maximum number of entries per read
	backoffInitial  = 50 * time.Millisecond  // pause after the first failed read
	backoffMax      = 2 * time.Second        // longest pause between reads
	readGrace       = 3 * time.Second        // beyond the poll time, before the log counts as unreadable
	truncationPause = 200 * time.Millisecond // before the state is loaded again
)

// StateBuilder returns a state restored from the snapshot, or an empty state if
// the snapshot is nil.
type StateBuilder func(snapshot []byte) (*ownership.State, error)

// Follower folds the control stream into an ownership table. The table includes
// all records up to the last successful read.
type Follower struct {
	log        logservice.Log
	buildState StateBuilder
	pollTime   time.Duration
	clock      ident.Clock
	logger     *zap.Logger
	onChange   func()

	table        atomic.Pointer[ownership.Table]
	lastRead     atomic.Int64  // ident.Instant of the last successful read
	caughtUp     chan struct{} // closed after the first load
	caughtUpOnce sync.Once

	mu             sync.Mutex // guards the fields below
	self           ident.Member
	state          *ownership.State
	outcomeWaiters map[uint64]chan ownership.Outcome // by sequence number; closed if the outcome is lost
	ownOutcomes    []ownOutcome                      // of the entries being folded
	newestSnapshot snapshotTracker
}

// FollowerDeps holds the dependencies of a Follower.
type FollowerDeps struct {
	Log        logservice.Log
	BuildState StateBuilder
	PollTime   time.Duration // longest time that a read waits for a new record
	Clock      ident.Clock
	Logger     *zap.Logger
	OnChange   func() // called after the table changed; must not block
}

// NewFollower returns a follower with an empty table.
func NewFollower(d FollowerDeps) (*Follower, error) {
	s, err := d.BuildState(nil)
	if err != nil {
		return nil, err
	}
	f := &Follower{
		log:            d.Log,
		buildState:     d.BuildState,
		pollTime:       d.PollTime,
		clock:          d.Clock,
		logger:         d.Logger,
		onChange:       d.OnChange,
		caughtUp:       make(chan struct{}),
		state:          s,
		outcomeWaiters: map[uint64]chan ownership.Outcome{},
	}
	f.table.Store(s.Table())
	return f, nil
}

// Table returns the newest table. It is immutable.
func (f *Follower) Table() *ownership.Table { return f.table.Load() }

// CaughtUp returns a channel that is closed once the follower has folded all
// records that the stream held when the first load began.
func (f *Follower) CaughtUp() <-chan struct{} { return f.caughtUp }

// LogReadable reports whether a read succeeded within the last poll time plus
// readGrace.
func (f *Follower) LogReadable() bool {
	last := ident.Instant(f.lastRead.Load())
	return last != 0 && f.clock.Now().Sub(last) < f.pollTime+readGrace
}

// Snapshot encodes the state and returns it with the offset of the next record
// to fold.
func (f *Follower) Snapshot() ([]byte, ident.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Snapshot()
	return data, f.state.NextOffset(), err
}

// NewestSnapshotOffset returns the next offset of the newest snapshot whose
// chunks were all folded. A daemon can start from this snapshot while the
// stream keeps the records from that offset on.
func (f *Follower) NewestSnapshotOffset() (ident.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestSnapshot.nextOffset, f.newestSnapshot.found
}

// LogBounds asks the log service which records of the control stream it keeps.
func (f *Follower) LogBounds(ctx context.Context) (logservice.Bounds, error) {
	return f.log.Bounds(ctx, logservice.ControlStream)
}

// Digest returns the digest of the state and the offset of the next record to
// fold.
func (f *Follower) Digest() ([32]byte, ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Digest(), f.state.NextOffset()
}

// Counters returns the number of folded records by outcome.
func (f *Follower) Counters() ownership.Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Counters()
}

// Run reads and folds the stream until ctx ends. After a failed read it retries
// with backoff.
func (f *Follower) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = backoffInitial
	wait.MaxInterval = backoffMax
	started := false
	for ctx.Err() == nil {
		err := f.loadOrRead(ctx, &started)
		if err == nil {
			wait.Reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		pause := wait.NextBackOff()
		f.logger.Warn("log_read_failed", zap.Error(err), zap.Duration("retry_in", pause))
		sleep(ctx, pause)
	}
	return nil
}

// loadOrRead performs the load if *started is false, and one read otherwise.
// After a truncation of the log it pauses and clears *started, so that the next
// call loads the state again.
func (f *Follower) loadOrRead(ctx context.Context, started *bool) error {
	if !*started {
		if err := f.loadState(ctx); err != nil {
			return err
		}
		*started = true
		return nil
	}
	err := f.readAndFold(ctx)
	if errors.Is(err, logservice.ErrTruncated) {
		*started = false
		sleep(ctx, truncationPause)
	}
	return err
}

// readAndFold reads once from the next offset and folds the entries.
func (f *Follower) readAndFold(ctx context.Context) error {
	f.mu.Lock()
	from := f.state.NextOffset()
	f.mu.Unlock()
	entries, err := f.log.Read(ctx, logservice.ControlStream, from, readLimit)
	if err != nil {
		return fmt.Errorf("read from offset %d: %w", from, err)
	}
	f.lastRead.Store(int64(f.clock.Now()))
	f.foldEntries(entries)
	return nil
}

// foldEntries applies the entries and publishes the table if there are any. A
// caller that waits for a record receives the outcome only after the table
// includes the record.
func (f *Follower) foldEntries(entries []logservice.Entry) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	for _, e := range entries {
		f.applyEntry(f.state, e)
	}
	f.publishTable()
	f.mu.Unlock()
	f.onChange()
}

// publishTable stores the table and delivers the outcomes of this member's
// records. The caller holds mu.
func (f *Follower) publishTable() {
	f.table.Store(f.state.Table())
	for _, d := range f.ownOutcomes {
		if ch, ok := f.outcomeWaiters[d.seq]; ok {
			delete(f.outcomeWaiters, d.seq)
			ch <- d.outcome
		}
	}
	f.ownOutcomes = f.ownOutcomes[:0]
}

// ownOutcome is the outcome of one record that this member wrote.
type ownOutcome struct {
	seq     uint64
	outcome ownership.Outcome
}

// applyEntry folds one entry into a state; it skips and counts an entry that
// cannot be decoded. The caller holds mu and calls publishTable afterwards.
func (f *Follower) applyEntry(s *ownership.State, e logservice.Entry) {
	env, err := record.Decode(e.Data)
	if err != nil {
		s.SkipDamagedRecord(e.Offset)
		f.logger.Warn("record_damaged", zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
		return
	}
	outcome := s.Apply(e.Offset, env)
	if c, ok := env.Body.(*record.SnapshotChunk); ok {
		f.newestSnapshot.addChunk(c)
	}
	if env.Writer == f.self {
		f.ownOutcomes = append(f.ownOutcomes, ownOutcome{seq: env.Seq, outcome: outcome})
	}
}

// expectOutcome returns a channel that receives the outcome of this member's
// record seq. The channel has capacity 1, so that folding never blocks. It is
// closed without a value if the follower skipped the record by loading a
// snapshot.
func (f *Follower) expectOutcome(seq uint64) <-chan ownership.Outcome {
	ch := make(chan ownership.Outcome, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomeWaiters[seq] = ch
	return ch
}

// SetSelf sets the member whose outcomes are delivered. It must be called once,
// before the member's recorder runs.
func (f *Follower) SetSelf(m ident.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = m
}

// forgetOutcome undoes expectOutcome.
func (f *Follower) forgetOutcome(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.outcomeWaiters, seq)
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
