package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
)

const largeBody = 64 << 20 // bytes

// await polls until the condition holds. It has no limit but the timeout of the
// test run.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// awaitAnswer repeats a request until it succeeds.
func awaitAnswer(from, to *node) {
	await(func() bool {
		_, err := request(context.Background(), from, to, "", nil)
		return err == nil
	})
}

// gatedReader blocks each Read until its gate channel is closed.
type gatedReader struct {
	gate <-chan struct{}
	r    io.Reader
}

func (g gatedReader) Read(p []byte) (int, error) {
	<-g.gate
	return g.r.Read(p)
}

// zeros returns a reader of n zero bytes that hides its length.
func zeros(n int64) io.Reader { return plainReader{io.LimitReader(zeroReader{}, n)} }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestSmallStreamsPassLargeOnes checks that a large body whose reader is held
// back does not delay other streams. It holds back one in each direction: all
// small streams must end before either is read on.
func TestSmallStreamsPassLargeOnes(t *testing.T) {
	gate := make(chan struct{})
	var uploaded int64
	b := startNode(t, "b", func(ctx context.Context, s ServerStream) {
		switch string(s.Head()) {
		case "upload":
			<-gate
			uploaded, _ = io.Copy(io.Discard, s.Body())
			_ = s.Respond(nil, nil)
		case "download":
			_ = s.Respond(nil, zeros(largeBody))
		default:
			echo(ctx, s)
		}
	}, nil)
	a := startNode(t, "a", echo, nil)
	ctx := context.Background()
	g := duty.NewGroup(ctx)
	g.Go("upload", func(ctx context.Context) error {
		_, err := request(ctx, a, b, "upload", zeros(largeBody))
		return err
	})
	download, err := a.Open(ctx, b.peer, []byte("download"), nil)
	assert.NilError(t, err)
	var small sync.WaitGroup
	for range 100 {
		small.Go(func() {
			got, err := request(ctx, a, b, "small", bytes.NewReader(make([]byte, 1000)))
			assert.Check(t, err)
			assert.Check(t, len(got) == len("small:")+1000)
		})
	}
	small.Wait()
	close(gate)
	n, err := io.Copy(io.Discard, download.Body())
	assert.NilError(t, err)
	assert.Equal(t, n, int64(largeBody))
	assert.NilError(t, g.Wait())
	assert.Equal(t, uploaded, int64(largeBody))
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestCutAnswerIsNoEnd checks that a reader does not see io.EOF if the answer
// is cut after its first part was read.
func TestCutAnswerIsNoEnd(t *testing.T) {
	part := bytes.Repeat([]byte("x"), 5000)
	cuts := map[string]func(b *node){
		"body fails":      func(*node) {},
		"connection lost": closeSockets,
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			var b *node
			read := make(chan struct{})
			b = startNode(t, "b", func(_ context.Context, s ServerStream) {
				rest := readerFunc(func([]byte) (int, error) {
					<-read
					cut(b)
					return 0, errors.New("backend server gone")
				})
				_ = s.Respond(nil, io.MultiReader(bytes.NewReader(part), rest))
			}, nil)
			a := startNode(t, "a", echo, nil)
			s, err := a.Open(context.Background(), b.peer, nil, nil)
			assert.NilError(t, err)
			defer s.Body().Close()
			_, err = io.ReadFull(s.Body(), make([]byte, len(part)))
			assert.NilError(t, err)
			close(read)
			_, err = io.ReadAll(s.Body())
			assert.Assert(t, err != nil, "a cut answer looks complete")
		})
	}
}

// closeSockets closes the network connections of a node without a close
// message.
func closeSockets(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.ws.Close()
	}
}

// TestCancelReachesHandler checks that canceling the context of a request ends
// the context of its handler.
func TestCancelReachesHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	b := startNode(t, "b", func(ctx context.Context, _ ServerStream) {
		close(started)
		<-ctx.Done()
		close(ended)
	}, nil)
	a := startNode(t, "a", echo, nil)
	ctx, cancel := context.WithCancel(context.Background())
	g := duty.NewGroup(context.Background())
	g.Go("cancel", func(context.Context) error {
		<-started
		cancel()
		return nil
	})
	_, err := request(ctx, a, b, "", nil)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	var unsent *UnsentError
	assert.Assert(t, !errors.As(err, &unsent))
	<-ended
	assert.NilError(t, g.Wait())
}

// blockingHook wraps connections so that writes block from the closing of hold
// until the closing of release.
type blockingHook struct {
	hold    chan struct{} // when closed, writes block
	release chan struct{} // when closed, writes pass again
}

func (h *blockingHook) WrapConn(_ ident.Member, _ Peer, c net.Conn) (net.Conn, error) {
	return &blockingConn{Conn: c, hook: h}, nil
}

type blockingConn struct {
	net.Conn
	hook *blockingHook
}

func (c *blockingConn) Write(p []byte) (int, error) {
	select {
	case <-c.hook.hold:
		<-c.hook.release
	default:
	}
	return c.Conn.Write(p)
}

// TestUnsentOnlyWithoutAByte checks that only a stream of which no byte was
// written fails with *UnsentError. It blocks the writer with one stream in it:
// the outcome of that stream is unknown, while those behind it are unsent and
// never reach the peer.
func TestUnsentOnlyWithoutAByte(t *testing.T) {
	heads := make(chan string, 10)
	b := startNode(t, "b", func(ctx context.Context, s ServerStream) {
		heads <- string(s.Head())
		echo(ctx, s)
	}, nil)
	hook := &blockingHook{hold: make(chan struct{}), release: make(chan struct{})}
	release := sync.OnceFunc(func() { close(hook.release) })
	defer release()
	a := startNode(t, "a", echo, func(c *Config) {
		c.LinkHook = hook
		c.MaxStreams = 2
	})
	_, err := request(context.Background(), a, b, "first", nil)
	assert.NilError(t, err)
	c := a.linkTo(b.peer.Addr).conn
	close(hook.hold)
	ctx, cancel := context.WithCancel(context.Background())
	errs := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	open := func(head string) {
		wg.Go(func() {
			_, err := request(ctx, a, b, head, nil)
			mu.Lock()
			defer mu.Unlock()
			errs[head] = err
		})
	}
	open("in the writer")
	await(func() bool { return c.streamCount() == 1 && c.data.Len() == 0 })
	open("in the ring")
	await(func() bool { return c.data.Len() == 1 })
	var unsent *UnsentError
	_, err = request(ctx, a, b, "over the limit", nil)
	assert.Assert(t, errors.As(err, &unsent) && errors.Is(err, ErrBusy), "%v", err)
	cancel()
	wg.Wait()
	assert.Assert(t, !errors.As(errs["in the writer"], &unsent), "%v", errs["in the writer"])
	assert.Assert(t, errors.As(errs["in the ring"], &unsent), "%v", errs["in the ring"])
	release()
	_, err = request(context.Background(), a, b, "last", nil)
	assert.NilError(t, err)
	assert.Equal(t, <-heads, "first")
	seen := []string{<-heads, <-heads} // the handlers run concurrently
	slices.Sort(seen)
	assert.DeepEqual(t, seen, []string{"in the writer", "last"})
	assert.Equal(t, len(heads), 0)
}

// TestCloseSendsWhatIsQueued closes a node whose writer is blocked while
// messages are in the ring. The test repeats this, since the writer chooses at
// random between the ring and the close, and one round would prove little.
func TestCloseSendsWhatIsQueued(t *testing.T) {
	for range 10 {
		hook := &blockingHook{hold: make(chan struct{}), release: make(chan struct{})}
		a := startNode(t, "a", echo, func(c *Config) { c.LinkHook = hook })
		b := startNode(t, "b", echo, nil)
		_, err := request(context.Background(), a, b, "", nil)
		assert.NilError(t, err)
		c := a.linkTo(b.peer.Addr).conn
		close(hook.hold)
		a.Send(b.peer, Message{Type: "first"})
		await(func() bool { return c.control.Len() == 0 })
		for range 20 {
			a.Send(b.peer, Message{Type: "queued"})
		}
		g := duty.NewGroup(context.Background())
		g.Go("close", func(context.Context) error { return a.Close() })
		await(c.isClosing)
		close(hook.release)
		assert.NilError(t, g.Wait())
		await(func() bool { return len(b.received) == 21 })
	}
}

// TestPanicEndsOneStream checks that a handler that panics fails its own stream, with an
// outcome that is not known, and that the daemon goes on serving others.
func TestPanicEndsOneStream(t *testing.T) {
	var streams atomic.Int32
	b := startNode(t, "b", func(ctx context.Context, s ServerStream) {
		if streams.Add(1) == 1 {
			panic("broken handler")
		}
		echo(ctx, s)
	}, nil)
	a := startNode(t, "a", echo, nil)
	_, err := request(context.Background(), a, b, "", nil)
	var unsent *UnsentError
	assert.Assert(t, err != nil && !errors.As(err, &unsent), "%v", err)
	_, err = request(context.Background(), a, b, "", nil)
	assert.NilError(t, err)
}

// panickingInbox panics at the first control message.
type panickingInbox struct{ seen chan struct{} }

func (p panickingInbox) HandleControl(ident.Member, Message) {
	select {
	case p.seen <- struct{}{}:
		panic("malformed message")
	default:
	}
}

// TestPanicOfControlHandlerEndsOneConnection checks that a control message whose handler
// panics costs its connection, and that the sender can connect again.
func TestPanicOfControlHandlerEndsOneConnection(t *testing.T) {
	b := startNode(t, "b", echo, nil)
	b.SetHandlers(panickingInbox{make(chan struct{}, 1)}, streamFunc(echo))
	a := startNode(t, "a", echo, nil)
	awaitAnswer(a, b)
	a.Send(b.peer, Message{Type: "x"})
	await(func() bool { return a.Stats().Connections == 0 })
	awaitAnswer(a, b)
	a.Send(b.peer, Message{Type: "x"})
	awaitAnswer(a, b)
	assert.Equal(t, a.Stats().Connections, 1)
}

// TestRestartedPeer checks that a request to an address where nothing listens,
// or where a later incarnation answers, fails with *UnsentError, and that a
// request to the later incarnation then succeeds.
func TestRestartedPeer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := startNode(t, "a", echo, func(c *Config) { c.RetryMax = time.Millisecond })
	old := Peer{Member: ident.Member{Host: "b", Incarnation: 0}, Addr: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	var unsent *UnsentError
	_, err = a.Open(context.Background(), old, nil, nil)
	assert.Assert(t, errors.As(err, &unsent), "%v", err)
	b := startNode(t, "b", echo, nil)
	old.Addr = b.peer.Addr
	_, err = a.Open(context.Background(), old, nil, nil)
	var wrong *wrongMemberError
	assert.Assert(t, errors.As(err, &unsent) && errors.As(err, &wrong), "%v", err)
	_, err = request(context.Background(), a, b, "", nil)
	assert.NilError(t, err)
}

// TestIdleConnectionCloses checks that an idle connection is closed and that a
// later request dials again.
func TestIdleConnectionCloses(t *testing.T) {
	b := startNode(t, "b", echo, nil)
	a := startNode(t, "a", echo, func(c *Config) {
		c.IdleTime = 20 * time.Millisecond
		c.PingInterval = 10 * time.Millisecond
	})
	for range 2 {
		awaitAnswer(a, b)
		await(func() bool { return a.Stats().Connections+b.Stats().Connections == 0 })
	}
}

// TestSilentPeerIsNoticed checks that a node closes the connection of a peer
// that sends nothing after its hello.
func TestSilentPeerIsNoticed(t *testing.T) {
	hook := &blockingHook{hold: make(chan struct{}), release: make(chan struct{})}
	shortPings := func(c *Config) {
		c.PingInterval, c.PingTimeout = 20*time.Millisecond, 100*time.Millisecond
		c.LinkHook = hook
	}
	a, b := startNode(t, "a", echo, shortPings), startNode(t, "b", echo, shortPings)
	awaitAnswer(a, b)
	close(hook.hold)
	await(func() bool { return b.Stats().Connections == 0 })
	close(hook.release)
}

// TestReaderOfAnEndedStreamWakes checks that a goroutine which still reads the body of a
// request is woken when the handler returns. It kept Close from ending.
func TestReaderOfAnEndedStreamWakes(t *testing.T) {
	woken := make(chan error, 1)
	b := startNode(t, "b", func(_ context.Context, s ServerStream) {
		go func() {
			_, err := io.ReadAll(s.Body())
			woken <- err
		}()
	}, nil)
	a := startNode(t, "a", echo, nil)
	body, feed := io.Pipe() // a body whose end does not come
	t.Cleanup(func() { _ = feed.Close() })
	_, err := a.Open(context.Background(), b.peer, nil, body)
	assert.Assert(t, err != nil)
	select {
	case err := <-woken:
		assert.ErrorIs(t, err, ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still waits")
	}
}
