// Package control keeps this daemon's view of the control stream: a follower
// that folds the log into the table, a recorder that appends this member's
// records, and the duties of the leader.
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
	readLimit       = 2048                   // entries in one read
	backoffInitial  = 50 * time.Millisecond  // first wait after a failed read
	backoffMax      = 2 * time.Second        // longest wait between reads
	readGrace       = 3 * time.Second        // beyond the poll time, until the log counts as down
	truncationPause = 200 * time.Millisecond // before the state is built anew
)

// StateBuilder returns an empty state, or one restored from a snapshot.
type StateBuilder func(snapshot []byte) (*ownership.State, error)

// Follower folds the control stream. Its table is never older than the last
// successful read.
type Follower struct {
	log      logservice.Log
	newState StateBuilder
	pollTime time.Duration
	clock    ident.Clock
	logger   *zap.Logger
	onChange func()

	table    atomic.Pointer[ownership.Table]
	lastRead atomic.Int64 // ident.Instant of the last successful read
	caughtUp chan struct{}
	catchUp  sync.Once

	mu      sync.Mutex // guards all below
	self    ident.Member
	state   *ownership.State
	expects map[uint64]chan ownership.Outcome // closed when the outcome is lost
	decided []decision                        // of the entries being folded
	written snapshotTracker
}

// FollowerDeps are what a follower needs.
type FollowerDeps struct {
	Log        logservice.Log
	BuildState StateBuilder
	PollTime   time.Duration // longest wait of a read without a new record
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
		log:      d.Log,
		newState: d.BuildState,
		pollTime: d.PollTime,
		clock:    d.Clock,
		logger:   d.Logger,
		onChange: d.OnChange,
		caughtUp: make(chan struct{}),
		state:    s,
		expects:  map[uint64]chan ownership.Outcome{},
	}
	f.table.Store(s.Table())
	return f, nil
}

// Table returns the newest table. It is immutable.
func (f *Follower) Table() *ownership.Table { return f.table.Load() }

// CaughtUp is closed once the follower has folded what the stream held when the
// daemon started.
func (f *Follower) CaughtUp() <-chan struct{} { return f.caughtUp }

// LogReadable reports whether the log answered a read lately.
func (f *Follower) LogReadable() bool {
	last := ident.Instant(f.lastRead.Load())
	return last != 0 && f.clock.Now().Sub(last) < f.pollTime+readGrace
}

// Snapshot encodes the state with the offset of the next record to fold.
func (f *Follower) Snapshot() ([]byte, ident.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.state.Snapshot()
	return data, f.state.NextOffset(), err
}

// NewestSnapshotOffset returns the offset of the newest snapshot that was folded whole:
// a daemon can start from it while the stream keeps the records from there on.
func (f *Follower) NewestSnapshotOffset() (ident.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.written.at, f.written.ok
}

// LogBounds asks the log which records of the control stream it keeps.
func (f *Follower) LogBounds(ctx context.Context) (logservice.Bounds, error) {
	return f.log.Bounds(ctx, logservice.ControlStream)
}

// Digest returns the digest of the state and the offset it stands for.
func (f *Follower) Digest() ([32]byte, ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Digest(), f.state.NextOffset()
}

// Counters returns how many records folded with each outcome.
func (f *Follower) Counters() ownership.Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Counters()
}

// Run reads and folds until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = backoffInitial
	wait.MaxInterval = backoffMax
	started := false
	for ctx.Err() == nil {
		err := f.step(ctx, &started)
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

// step performs the first load or one read.
func (f *Follower) step(ctx context.Context, started *bool) error {
	if !*started {
		if err := f.load(ctx); err != nil {
			return err
		}
		*started = true
		return nil
	}
	err := f.readOnce(ctx)
	if errors.Is(err, logservice.ErrTruncated) {
		*started = false
		sleep(ctx, truncationPause)
	}
	return err
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from := f.state.NextOffset()
	f.mu.Unlock()
	entries, err := f.log.Read(ctx, logservice.ControlStream, from, readLimit)
	if err != nil {
		return fmt.Errorf("read from offset %d: %w", from, err)
	}
	f.lastRead.Store(int64(f.clock.Now()))
	f.fold(entries)
	return nil
}

// fold applies entries and publishes the table when there were any. Whoever
// waits for a record learns of it only once the table shows it.
func (f *Follower) fold(entries []logservice.Entry) {
	if len(entries) == 0 {
		return
	}
	f.mu.Lock()
	for _, e := range entries {
		f.apply(f.state, e)
	}
	f.publish()
	f.mu.Unlock()
	f.onChange()
}

// publish stores the table and delivers the outcomes of this member's records.
// The caller holds mu.
func (f *Follower) publish() {
	f.table.Store(f.state.Table())
	for _, d := range f.decided {
		if ch, ok := f.expects[d.seq]; ok {
			delete(f.expects, d.seq)
			ch <- d.outcome
		}
	}
	f.decided = f.decided[:0]
}

// decision is the outcome of one record of this member.
type decision struct {
	seq     uint64
	outcome ownership.Outcome
}

// apply folds one entry into a state. The caller holds mu and publishes
// afterwards.
func (f *Follower) apply(s *ownership.State, e logservice.Entry) {
	env, err := record.Decode(e.Data)
	if err != nil {
		s.SkipDamagedRecord(e.Offset)
		f.logger.Warn("record_damaged", zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
		return
	}
	outcome := s.Apply(e.Offset, env)
	if c, ok := env.Body.(*record.SnapshotChunk); ok {
		f.written.add(c)
	}
	if env.Writer == f.self {
		f.decided = append(f.decided, decision{seq: env.Seq, outcome: outcome})
	}
}

// expect registers interest in the outcome of this member's record seq. The
// channel holds one outcome, so that folding never blocks; it is closed when the
// follower passed over the record.
func (f *Follower) expect(seq uint64) <-chan ownership.Outcome {
	ch := make(chan ownership.Outcome, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expects[seq] = ch
	return ch
}

// SetSelf names the member whose records are expected. It is called once, before
// the member's recorder runs.
func (f *Follower) SetSelf(m ident.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = m
}

// forget removes the interest in a record.
func (f *Follower) forget(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.expects, seq)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
