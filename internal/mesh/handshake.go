package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const meshPath = "/mesh"

// dial connects to a peer and exchanges hello messages with it.
func (m *Mesh) dial(ctx context.Context, to Peer) (*conn, error) {
	d := websocket.Dialer{
		NetDialContext:  m.dialNet(to),
		ReadBufferSize:  readBufferBytes,
		WriteBufferSize: writeBufferBytes,
		WriteBufferPool: &m.writeBuffers,
	}
	scheme := "ws"
	if !m.cfg.Plain {
		scheme = "wss"
		d.TLSClientConfig = m.cfg.TLS.ClientTLS()
	}
	ws, _, err := d.DialContext(ctx, scheme+"://"+to.Addr+meshPath, nil)
	if err != nil {
		return nil, fmt.Errorf("mesh: dial %s: %w", to.Addr, err)
	}
	remote, err := m.exchangeHello(ctx, ws)
	if err != nil {
		_ = ws.Close()
		return nil, fmt.Errorf("mesh: hello of %s: %w", to.Addr, err)
	}
	return newConn(m, ws, remote, true), nil
}

// dialNet returns the function that opens the network connection to a peer and
// passes it through the LinkHook.
func (m *Mesh) dialNet(to Peer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		if err != nil || m.cfg.LinkHook == nil {
			return c, err
		}
		return m.cfg.LinkHook.WrapConn(m.cfg.Self.Member, to, c)
	}
}

// exchangeHello sends the hello of the dialing side and returns the hello of
// the peer.
func (m *Mesh) exchangeHello(ctx context.Context, ws *websocket.Conn) (hello, error) {
	deadline, _ := ctx.Deadline()
	if err := m.writeHello(ws, deadline); err != nil {
		return hello{}, err
	}
	return m.readHello(ws, deadline)
}

func (m *Mesh) writeHello(ws *websocket.Conn, deadline time.Time) error {
	message, err := m.ownHello().frame()
	if err != nil {
		return err
	}
	if err := ws.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return ws.WriteMessage(websocket.BinaryMessage, message)
}

func (m *Mesh) readHello(ws *websocket.Conn, deadline time.Time) (hello, error) {
	if err := ws.SetReadDeadline(deadline); err != nil {
		return hello{}, err
	}
	ws.SetReadLimit(handshakeBytes)
	kind, message, err := ws.ReadMessage()
	if err != nil {
		return hello{}, err
	}
	if kind != websocket.BinaryMessage {
		return hello{}, fmt.Errorf("%w: message of type %d", errMalformed, kind)
	}
	h, err := decodeHello(message)
	if err != nil {
		return hello{}, err
	}
	if err := m.checkHello(h); err != nil {
		return hello{}, err
	}
	return h, ws.SetReadDeadline(time.Time{})
}

// newServer returns the HTTP server that upgrades the connections of peers to
// WebSocket.
func newServer(m *Mesh) *fasthttp.Server {
	upgrader := &websocket.FastHTTPUpgrader{
		HandshakeTimeout: m.cfg.DialTimeout,
		ReadBufferSize:   readBufferBytes,
		WriteBufferSize:  writeBufferBytes,
		WriteBufferPool:  &m.writeBuffers,
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != meshPath {
			ctx.Error("not found", fasthttp.StatusNotFound)
			return
		}
		if err := upgrader.Upgrade(ctx, m.serveConn); err != nil {
			m.log.Warn("mesh_peer_refused", zap.Stringer("addr", ctx.RemoteAddr()), zap.Error(err))
		}
	}
	return &fasthttp.Server{
		Handler:               handler,
		ReadTimeout:           m.cfg.DialTimeout,
		WriteTimeout:          m.cfg.DialTimeout,
		MaxRequestBodySize:    handshakeBytes,
		ReadBufferSize:        handshakeBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		KeepHijackedConns:     true, // conn.fail closes them, while the reader blocks
		Logger:                httpLogger{m.log},
	}
}

// serveConn exchanges hello messages on an upgraded connection, starts it, and
// returns when its reader has ended.
func (m *Mesh) serveConn(ws *websocket.Conn) {
	deadline := time.Now().Add(m.cfg.DialTimeout)
	remote, err := m.readHello(ws, deadline)
	if err == nil {
		err = m.writeHello(ws, deadline)
	}
	if err != nil {
		m.log.Warn("mesh_peer_refused", zap.Stringer("addr", ws.RemoteAddr()), zap.Error(err))
		_ = ws.Close()
		return
	}
	c := newConn(m, ws, remote, false)
	if err := m.startConn(c); err == nil {
		<-c.readDone
	}
}

// wrapTLS returns a TLS listener over ln, or ln itself if connections are
// plain.
func (m *Mesh) wrapTLS(ln net.Listener) net.Listener {
	if m.cfg.Plain {
		return ln
	}
	return tls.NewListener(ln, m.cfg.TLS.ServerTLS())
}

// httpLogger logs the errors of the HTTP library, such as connections that do
// not speak HTTP, as structured events.
type httpLogger struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Warn("mesh_http_failed", zap.String("detail", fmt.Sprintf(format, args...)))
}
