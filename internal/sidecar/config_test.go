package sidecar

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// pollRecorder is a log that records how long its polls may wait. Polls with a wait block
// until they are canceled or the test fails them.
type pollRecorder struct {
	logservice.KeyedLog
	fail chan error

	mu    sync.Mutex
	waits []time.Duration
}

func (p *pollRecorder) Era() uint64 { return 0 }

func (p *pollRecorder) Newest(context.Context, logservice.Stream) (logservice.Newest, error) {
	return logservice.Newest{}, nil
}

func (p *pollRecorder) Poll(ctx context.Context, _ logservice.Stream, from ident.Offset, wait time.Duration) (logservice.Changes, error) {
	p.mu.Lock()
	p.waits = append(p.waits, wait)
	p.mu.Unlock()
	if wait == 0 {
		return logservice.Changes{Next: from}, nil
	}
	select {
	case err := <-p.fail:
		return logservice.Changes{}, err
	case <-ctx.Done():
		return logservice.Changes{}, ctx.Err()
	}
}

func (p *pollRecorder) pollsWithWaits() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.waits)
}

// After an outage, or a hint that there is a newer version, a poll that waits for records after
// the known offset hides for its whole time that the log came back from a copy.
func TestPollAfterOutageOrHintDoesNotWait(t *testing.T) {
	const pollTime = 20 * time.Second
	log := &pollRecorder{fail: make(chan error)}
	c := &configFollower{store: log, log: zap.NewNop(), evacuations: newEvacuations("d", time.Second, nil, &manualClock{}, zap.NewNop()), pollTime: func() time.Duration { return pollTime }}
	c.table.Store(routes.NewTable(routes.Config{Version: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, c.follow(ctx))
	}()
	log.fail <- errors.New("away")
	log.fail <- errors.New("away once more, after the poll that did not wait")
	for len(log.pollsWithWaits()) < 5 {
		time.Sleep(time.Millisecond)
	}
	c.handleVersionHint(2)
	for len(log.pollsWithWaits()) < 7 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	assert.DeepEqual(t, log.pollsWithWaits()[:7], []time.Duration{pollTime, 0, pollTime, 0, pollTime, 0, pollTime})
}

// versionLog is a log whose polls are answered with the next version of the configuration,
// after answerTime.
type versionLog struct {
	logservice.KeyedLog
	answerTime time.Duration
	polls      atomic.Int64
}

func (l *versionLog) Newest(context.Context, logservice.Stream) (logservice.Newest, error) {
	return logservice.Newest{}, nil
}

func (l *versionLog) Poll(ctx context.Context, _ logservice.Stream, from ident.Offset, _ time.Duration) (logservice.Changes, error) {
	l.polls.Add(1)
	select {
	case <-time.After(l.answerTime):
	case <-ctx.Done():
		return logservice.Changes{}, ctx.Err()
	}
	version := strconv.Itoa(int(from) + 1)
	return logservice.Changes{Next: from + 1, Entries: []logservice.KeyedEntry{{Key: logservice.ConfigKey, Value: []byte(version), Offset: from}}}, nil
}

// Versions in quick succession are announced by several peers each. Every announcement ended
// the pending poll before its answer had come, so that the daemon read none of them.
func TestHintsInQuickSuccessionDoNotStopPolls(t *testing.T) {
	log := &versionLog{answerTime: 60 * time.Millisecond}
	c := &configFollower{
		evacuations: newEvacuations("d", time.Second, nil, &manualClock{}, zap.NewNop()),
		store:       log, log: zap.NewNop(), pollTime: func() time.Duration { return time.Second }, onChange: func(*routes.Table, string) {},
		decode: func(raw []byte) (routes.Config, error) {
			v, err := strconv.Atoi(string(raw))
			return routes.Config{Version: routes.Version(v)}, err
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, c.follow(ctx))
	}()
	const hints = 200
	for range hints {
		c.handleVersionHint(1000)
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-done
	assert.Assert(t, c.Version() >= 2, "version %d after %d hints and %d polls", c.Version(), hints, log.polls.Load())
}

// A faulty daemon tells of an offset that the store has not reached, while the poll of this one
// waits. It asks the store at once, and the store's orders count.
func TestEvacuationBeyondTheStoreIsAskedOfTheStore(t *testing.T) {
	log := &pollRecorder{fail: make(chan error)}
	e := newEvacuations("d", time.Second, nil, ident.NewMonotonicClock(), zap.NewNop())
	c := &configFollower{store: log, log: zap.NewNop(), evacuations: e, pollTime: func() time.Duration { return time.Minute }}
	c.table.Store(routes.NewTable(routes.Config{Version: 1}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, c.follow(ctx))
	}()
	for len(log.pollsWithWaits()) == 0 {
		time.Sleep(time.Millisecond)
	}
	p := &peers{evacuations: e, configs: c}
	p.handleEvacuationNotice(evacuationNotice{State: evacuation.State{At: 1 << 40, Domains: domains{"z"}}}, ident.Member{Host: "x"})
	assert.DeepEqual(t, e.Domains(), domains{"z"})
	for end := time.Now().Add(5 * time.Second); len(e.Domains()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(e.Domains()), 0)
	cancel()
	<-done
}
