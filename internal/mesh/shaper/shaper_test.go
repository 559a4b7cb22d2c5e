package shaper_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/mesh/shaper"
)

// TestMain ignores two goroutines of fasthttp: the cleaner of its worker pool,
// which ends by itself seconds after the server, and its clock, which runs
// until the process ends once an HTTP error has been answered.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// echo is a handler that answers each request with its own head and body.
type echo struct{}

func (echo) HandleControl(ident.Member, mesh.Message) {}

func (echo) HandleStream(_ context.Context, _ ident.Member, s mesh.ServerStream) {
	_ = s.Respond(s.Head(), s.Body())
}

// startNode runs a mesh on loopback until the end of the test.
func startNode(t *testing.T, host ident.Host, hook mesh.LinkHook) (*mesh.Mesh, mesh.Peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := mesh.Peer{Member: ident.Member{Host: host, Incarnation: 1}, Addr: ln.Addr().String()}
	m, err := mesh.New(mesh.Config{
		Self: self, Plain: true, LinkHook: hook, RetryMax: 10 * time.Millisecond,
		DialTimeout:  time.Second,
		PingInterval: 200 * time.Millisecond, PingTimeout: time.Second,
	})
	assert.NilError(t, err)
	m.SetHandlers(echo{}, echo{})
	g := duty.NewGroup(context.Background())
	g.Go("serve", func(context.Context) error { return m.Serve(ln) })
	t.Cleanup(func() {
		assert.NilError(t, m.Close())
		assert.NilError(t, g.Wait())
	})
	return m, self
}

// openAndClose opens a stream, waits for the head of the answer, and closes the
// stream.
func openAndClose(m *mesh.Mesh, to mesh.Peer) error {
	s, err := m.Open(context.Background(), to, nil, nil)
	if err != nil {
		return err
	}
	return s.Body().Close()
}

// openUntilAnswered repeats openAndClose until it succeeds and returns the
// duration of the successful attempt.
func openUntilAnswered(m *mesh.Mesh, to mesh.Peer) time.Duration {
	for {
		began := time.Now()
		if openAndClose(m, to) == nil {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCutAndDelay cuts a link, restores it and delays it. After the cut, the
// first request fails with an unknown outcome and the next one with
// *UnsentError. An exchange over a link with a delay of 30 ms each way
// takes at least 60 ms.
func TestCutAndDelay(t *testing.T) {
	sh := shaper.New()
	t.Cleanup(func() { assert.NilError(t, sh.Close()) })
	a, _ := startNode(t, "a", sh)
	_, b := startNode(t, "b", sh)
	openUntilAnswered(a, b)

	sh.Cut("a", "b", true)
	var unsent *mesh.UnsentError
	err := openAndClose(a, b)
	assert.Assert(t, err != nil && !errors.As(err, &unsent), "sent before the cut was noticed: %v", err)
	err = openAndClose(a, b)
	assert.Assert(t, errors.As(err, &unsent), "%v", err)

	sh.Cut("a", "b", false)
	openUntilAnswered(a, b)
	sh.Delay("a", "b", 30*time.Millisecond)
	assert.Assert(t, openUntilAnswered(a, b) >= 60*time.Millisecond)
}
