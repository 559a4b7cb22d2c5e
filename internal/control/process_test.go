package control_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/leaktest"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/standin/logserver"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

const testTimeout = 30 * time.Second // limit for every wait; no test result depends on its length

// startLog runs a stand-in log service on the loopback interface and returns it
// with a client.
func startLog(t *testing.T, seed uint64) (*logserver.Server, *logservice.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := logserver.New(logserver.Config{Seed: seed})
	g := duty.NewGroup(context.Background())
	g.Go("serve", func(context.Context) error { return srv.Serve(ln) })
	c, err := logservice.NewClient(logservice.ClientConfig{
		BaseURL: "http://" + ln.Addr().String(), Timeout: time.Minute, PollTime: 20 * time.Millisecond, RetryTime: 20 * time.Millisecond,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, srv.Close())
		assert.NilError(t, g.Wait())
	})
	return srv, c
}

// testProcess is the control part of one daemon: a follower and a recorder.
type testProcess struct {
	*control.Recorder
	follower *control.Follower
	t        *testing.T
	self     ident.Member
}

// startTestProcess runs a follower and a recorder that use the log.
func startTestProcess(t *testing.T, host ident.Host, log logservice.Log, logger *zap.Logger) *testProcess {
	t.Helper()
	f, err := control.NewFollower(control.FollowerDeps{
		Log: log, BuildState: control.NewStateBuilder(nil), Clock: ident.NewMonotonicClock(), Logger: logger, OnChange: func() {},
	})
	assert.NilError(t, err)
	p := &testProcess{follower: f, t: t, self: ident.Member{Host: host, Incarnation: 1}}
	f.SetSelf(p.self)
	p.Recorder = control.NewRecorder(log, p.self, f, zap.NewNop())
	g := duty.NewGroup(context.Background())
	g.Go("follower", f.Run)
	g.Go("recorder", p.Run)
	t.Cleanup(func() {
		g.Stop()
		assert.NilError(t, g.Wait())
	})
	return p
}

// startMember starts a process and records that it joined.
func startMember(t *testing.T, host ident.Host, log logservice.Log) *testProcess {
	t.Helper()
	p := startTestProcess(t, host, log, zap.NewNop())
	p.mustRecord(&record.MemberJoined{Member: p.self})
	return p
}

// mustRecord records the bodies and fails the test on an error.
func (p *testProcess) mustRecord(bodies ...record.Body) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(p.t, p.Record(ctx, bodies...))
}

// startRecord calls Record in a goroutine and returns the channel of its
// result.
func (p *testProcess) startRecord(ctx context.Context, bodies ...record.Body) <-chan error {
	done := make(chan error, 1)
	go func() { done <- p.Record(ctx, bodies...) }()
	return done
}

// poolRecord returns a record whose effect the table shows; see pool.
func (p *testProcess) poolRecord(pool ident.Pool) record.Body {
	return &record.BackendChanged{Member: p.self, Pool: pool}
}

// pool returns the pool of the process according to its table.
func (p *testProcess) pool() ident.Pool {
	info, _ := p.follower.Table().Member(p.self)
	return info.Pool
}

// snapshotRecords returns a snapshot of the state of the process as records.
func (p *testProcess) snapshotRecords() []record.Body {
	p.t.Helper()
	data, at, err := p.follower.Snapshot()
	assert.NilError(p.t, err)
	return chunkBodies(ownership.SplitSnapshot(1, at, data, 64))
}

func chunkBodies(chunks []*record.SnapshotChunk) []record.Body {
	var out []record.Body
	for _, c := range chunks {
		out = append(out, c)
	}
	return out
}

// waitSameState waits until both processes have the same state at the same
// offset.
func (p *testProcess) waitSameState(other *testProcess) {
	p.t.Helper()
	eventually(p.t, "states differ", func() bool {
		a, atA := p.follower.Digest()
		b, atB := other.follower.Digest()
		return atA == atB && a == b
	})
}

func eventually(t *testing.T, otherwise string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", otherwise)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

// waitResult waits for the result of startRecord.
func waitResult(t *testing.T, done <-chan error) error {
	t.Helper()
	select {
	case err := <-done:
		return err
	case <-time.After(testTimeout):
		t.Fatal("Record does not return")
		return nil
	}
}

// gatedLog holds back reads while its gate is closed, and passes appends to a
// function of the test if one is set.
type gatedLog struct {
	logservice.Log
	mu       sync.Mutex // guards the fields below
	readGate chan struct{}
	append   func(ctx context.Context, records [][]byte) (ident.Offset, error)
}

// holdReads holds back the results of reads until open is called.
func (l *gatedLog) holdReads() (open func()) {
	gate := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readGate = gate
	return func() { close(gate) }
}

// setAppend replaces Append by f; nil restores the append of the log.
func (l *gatedLog) setAppend(f func(ctx context.Context, records [][]byte) (ident.Offset, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append = f
}

func (l *gatedLog) Append(ctx context.Context, s logservice.Stream, records [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	f := l.append
	l.mu.Unlock()
	if f != nil {
		return f(ctx, records)
	}
	return l.Log.Append(ctx, s, records)
}

// Read reads again after the gate opens and discards what it read while the
// gate was closed.
func (l *gatedLog) Read(ctx context.Context, s logservice.Stream, from ident.Offset, limit int) ([]logservice.Entry, error) {
	entries, err := l.Log.Read(ctx, s, from, limit)
	l.mu.Lock()
	gate := l.readGate
	l.mu.Unlock()
	if gate == nil {
		return entries, err
	}
	select {
	case <-gate:
		return l.Log.Read(ctx, s, from, limit)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// withStoppedRecorder returns a process with the follower of p and a recorder
// whose Run has returned.
func withStoppedRecorder(log logservice.Log, p *testProcess) *testProcess {
	r := control.NewRecorder(log, p.self, p.follower, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.Run(ctx)
	return &testProcess{Recorder: r, follower: p.follower, t: p.t, self: p.self}
}
