package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/certs"
	"github.com/burdockfold/burdockfold/internal/certs/certtest"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// rawPeer dials a node, exchanges hello messages with it, and returns the
// connection for sending frames directly.
func rawPeer(t *testing.T, n *node, version uint16) *websocket.Conn {
	t.Helper()
	ws, _, err := websocket.DefaultDialer.Dial("ws://"+n.peer.Addr+meshPath, nil)
	assert.NilError(t, err)
	h := hello{Version: version, Cluster: "test", Member: ident.Member{Host: "raw"}, Window: 1 << 16}
	message, err := h.frame()
	assert.NilError(t, err)
	assert.NilError(t, ws.WriteMessage(websocket.BinaryMessage, message))
	_, answer, err := ws.ReadMessage()
	assert.NilError(t, err)
	_, err = decodeHello(answer)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ws.Close() })
	return ws
}

// TestNewerPeer checks that a peer with a newer protocol version is served with
// the older version and that its unknown frames are skipped.
func TestNewerPeer(t *testing.T) {
	b := startNode(t, "b", echo, nil)
	a := startNode(t, "a", echo, func(c *Config) { c.Version = ProtocolVersion + 1 })
	_, err := request(context.Background(), a, b, "", nil)
	assert.NilError(t, err)
	c := a.linkTo(b.peer.Addr).conn
	assert.Equal(t, c.version, uint16(ProtocolVersion))
	c.sendEmptyFrame(frameTypeEnd + 3) // a frame type that b does not know
	_, err = request(context.Background(), a, b, "", nil)
	assert.NilError(t, err)
	assert.Assert(t, c.alive())
}

// TestOldPeerIsNotPaced checks that a peer that does not know of credit from zero may send its
// window to a daemon with a slow link.
func TestOldPeerIsNotPaced(t *testing.T) {
	bodies := make(chan []byte, 1)
	b := startNode(t, "b", func(_ context.Context, s ServerStream) {
		body, err := io.ReadAll(s.Body())
		assert.Check(t, err == nil, "%v", err)
		bodies <- body
	}, func(c *Config) { c.UnpacedBytes = 4 << 10 })
	ws := rawPeer(t, b, pacedVersion-1)
	message := appendFrame(nil, frameOpen, 1, nil)
	message = appendFrame(message, frameData, 1, make([]byte, 20_000))
	message = appendEnd(message, 1, 20_000)
	assert.NilError(t, ws.WriteMessage(websocket.BinaryMessage, message))
	assert.Equal(t, len(<-bodies), 20_000)
}

// TestFullPeerRefuses checks that a second stream to a peer that serves one at
// a time fails with *UnsentError.
func TestFullPeerRefuses(t *testing.T) {
	gate, served := make(chan struct{}), make(chan string, 2)
	openGate := sync.OnceFunc(func() { close(gate) })
	defer openGate()
	b := startNode(t, "b", func(_ context.Context, s ServerStream) {
		served <- string(s.Head())
		_ = s.Respond(nil, gatedReader{gate: gate, r: bytes.NewReader(nil)})
	}, func(c *Config) { c.MaxStreams = 1 })
	a := startNode(t, "a", echo, nil)
	first, err := a.Open(context.Background(), b.peer, []byte("first"), nil)
	assert.NilError(t, err)
	var unsent *UnsentError
	_, err = request(context.Background(), a, b, "second", nil)
	assert.Assert(t, errors.As(err, &unsent) && errors.Is(err, ErrRefused), "%v", err)
	openGate()
	_, err = io.ReadAll(first.Body())
	assert.NilError(t, err)
	assert.Equal(t, <-served, "first")
	assert.Equal(t, len(served), 0)
}

// TestMalformedFrameEndsItsConnectionOnly sends one malformed message on each
// of several connections, while another stream of the same server is open. Each
// message must end its own connection, and the open stream must complete.
func TestMalformedFrameEndsItsConnectionOnly(t *testing.T) {
	gate := make(chan struct{})
	b := startNode(t, "b", func(_ context.Context, s ServerStream) {
		_ = s.Respond(nil, gatedReader{gate: gate, r: bytes.NewReader([]byte("whole"))})
	}, func(c *Config) { c.Window, c.PingTimeout = 1<<10, time.Hour })
	a := startNode(t, "a", echo, nil)
	other, err := a.Open(context.Background(), b.peer, nil, nil)
	assert.NilError(t, err)
	open := appendFrame(nil, frameOpen, 1, nil)
	messages := map[string][]byte{
		"garbage":     []byte("garbage that is no frame"),
		"short":       {cborArray3},
		"length":      appendHeader(nil, frameData, 1, 100),
		"type zero":   appendFrame(nil, 0, 1, nil),
		"hello again": appendFrame(nil, frameHello, 0, nil),
		"open twice":  append(open, open...),
		"overrun":     appendFrame(open, frameData, 1, make([]byte, 2<<10)),
		"end mark":    appendFrame(open, frameEnd, 1, []byte{1}),
		"window":      appendFrame(open, frameWindow, 1, nil),
		"reset":       appendFrame(open, frameReset, 1, nil),
		"head":        appendFrame(open, frameHead, 1, nil),
		"control":     appendFrame(nil, frameControl, 0, []byte{0xff}),
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			ws := rawPeer(t, b, ProtocolVersion)
			assert.NilError(t, ws.WriteMessage(websocket.BinaryMessage, message))
			var err error
			for err == nil {
				_, _, err = ws.ReadMessage()
			}
		})
	}
	close(gate)
	answer, err := io.ReadAll(other.Body())
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "whole")
}

// TestByteCountIsChecked checks that a body that is shorter than its end mark
// says fails with ErrByteCount.
func TestByteCountIsChecked(t *testing.T) {
	errs := make(chan error, 1)
	b := startNode(t, "b", func(_ context.Context, s ServerStream) {
		_, err := io.ReadAll(s.Body())
		errs <- err
	}, nil)
	ws := rawPeer(t, b, ProtocolVersion)
	message := appendFrame(nil, frameOpen, 1, nil)
	message = appendFrame(message, frameData, 1, []byte("1234"))
	message = appendEnd(message, 1, 5)
	assert.NilError(t, ws.WriteMessage(websocket.BinaryMessage, message))
	assert.Assert(t, errors.Is(<-errs, ErrByteCount))
}

// TestCertificateIsRequired checks that peers without TLS or with a certificate
// of another authority are refused.
func TestCertificateIsRequired(t *testing.T) {
	withCertificate := func(a *certtest.Authority, host string) func(*Config) {
		f := a.Issue(t, t.TempDir(), host)
		r, err := certs.NewReloader(f.Cert, f.Key, f.CA, nil)
		assert.NilError(t, err)
		return func(c *Config) { c.Plain, c.TLS = false, r }
	}
	authority := certtest.NewAuthority(t)
	b := startNode(t, "b", echo, withCertificate(authority, "b"))
	a := startNode(t, "a", echo, withCertificate(authority, "a"))
	got, err := request(context.Background(), a, b, "head", bytes.NewReader([]byte("body")))
	assert.NilError(t, err)
	assert.Equal(t, got, "head:body")
	untrusted := map[string]func(*Config){
		"plain":             nil,
		"foreign authority": withCertificate(certtest.NewAuthority(t), "c"),
	}
	for name, change := range untrusted {
		t.Run(name, func(t *testing.T) {
			var unsent *UnsentError
			_, err := request(context.Background(), startNode(t, "c", echo, change), b, "", nil)
			assert.Assert(t, errors.As(err, &unsent), "%v", err)
		})
	}
}

// TestSlowSenderLetsShortMessagesPass checks that a host with a slow link sends a short
// request while a long body waits for its turn, also on another connection.
func TestSlowSenderLetsShortMessagesPass(t *testing.T) {
	slow := func(c *Config) { c.SendRate = 20 << 10 }
	a, b, other := startNode(t, "a", echo, slow), startNode(t, "b", echo, nil), startNode(t, "c", echo, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	sending.Go(func() {
		_, err := request(ctx, a, b, "long", bytes.NewReader(make([]byte, 1<<20)))
		assert.Check(t, err != nil, "it takes 50 s")
	})
	await(func() bool { return b.Stats().BytesReceived > DefaultChunk })
	for range 3 {
		for _, to := range []*node{b, other} {
			got, err := request(context.Background(), a, to, "short", nil)
			assert.NilError(t, err)
			assert.Equal(t, got, "short:")
		}
	}
	assert.Assert(t, b.Stats().BytesReceived < 1<<19, "%d bytes of the long body went first", b.Stats().BytesReceived)
	cancel()
	sending.Wait()
}
