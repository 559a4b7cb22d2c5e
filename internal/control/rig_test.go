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

const limit = 30 * time.Second // bounds every wait; no verdict depends on it

// startLog runs a stand-in log service on loopback.
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

// process is the control part of one daemon.
type process struct {
	*control.Recorder
	f    *control.Follower
	t    *testing.T
	self ident.Member
}

// startProcess runs a follower and a recorder that use the log.
func startProcess(t *testing.T, host ident.Host, log logservice.Log, logger *zap.Logger) *process {
	t.Helper()
	f, err := control.NewFollower(control.FollowerDeps{
		Log: log, BuildState: control.NewStateBuilder(nil), Clock: ident.NewMonotonicClock(), Logger: logger, OnChange: func() {},
	})
	assert.NilError(t, err)
	p := &process{f: f, t: t, self: ident.Member{Host: host, Incarnation: 1}}
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

// join starts a process and makes it a member.
func join(t *testing.T, host ident.Host, log logservice.Log) *process {
	t.Helper()
	p := startProcess(t, host, log, zap.NewNop())
	p.must(&record.MemberJoined{Member: p.self})
	return p
}

func (p *process) must(bodies ...record.Body) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	assert.NilError(p.t, p.Record(ctx, bodies...))
}

// start runs Record and returns where its result will arrive.
func (p *process) start(ctx context.Context, bodies ...record.Body) <-chan error {
	done := make(chan error, 1)
	go func() { done <- p.Record(ctx, bodies...) }()
	return done
}

// inPool is a record that shows in the table.
func (p *process) inPool(pool ident.Pool) record.Body {
	return &record.BackendChanged{Member: p.self, Pool: pool}
}

func (p *process) pool() ident.Pool {
	info, _ := p.f.Table().Member(p.self)
	return info.Pool
}

// chunks returns a snapshot of the process's state as records.
func (p *process) chunks() []record.Body {
	p.t.Helper()
	data, at, err := p.f.Snapshot()
	assert.NilError(p.t, err)
	return bodies(ownership.SplitSnapshot(1, at, data, 64))
}

func bodies(chunks []*record.SnapshotChunk) []record.Body {
	var out []record.Body
	for _, c := range chunks {
		out = append(out, c)
	}
	return out
}

// agrees waits until the process has the same state as another.
func (p *process) agrees(with *process) {
	p.t.Helper()
	eventually(p.t, "states differ", func() bool {
		a, atA := p.f.Digest()
		b, atB := with.f.Digest()
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
	}, poll.WithTimeout(limit), poll.WithDelay(5*time.Millisecond))
}

// result waits for a result of start.
func result(t *testing.T, done <-chan error) error {
	t.Helper()
	select {
	case err := <-done:
		return err
	case <-time.After(limit):
		t.Fatal("Record does not return")
		return nil
	}
}

// gatedLog holds back reads while the gate is closed, and hands appends to a
// function of the test when one is set.
type gatedLog struct {
	logservice.Log
	mu     sync.Mutex // guards both
	gate   chan struct{}
	append func(ctx context.Context, records [][]byte) (ident.Offset, error)
}

func (l *gatedLog) shut() (open func()) {
	gate := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = gate
	return func() { close(gate) }
}

func (l *gatedLog) onAppend(f func(ctx context.Context, records [][]byte) (ident.Offset, error)) {
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

// Read drops what was read while the gate was shut.
func (l *gatedLog) Read(ctx context.Context, s logservice.Stream, from ident.Offset, limit int) ([]logservice.Entry, error) {
	entries, err := l.Log.Read(ctx, s, from, limit)
	l.mu.Lock()
	gate := l.gate
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

// newStopped returns a process whose recorder has ended.
func newStopped(log logservice.Log, p *process) *process {
	r := control.NewRecorder(log, p.self, p.f, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.Run(ctx)
	return &process{Recorder: r, f: p.f, t: p.t, self: p.self}
}
