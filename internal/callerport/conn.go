package callerport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// A closing connection whose request was not read to its end is drained first,
// since unread bytes would reset it and destroy the answer on its way.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 1 << 20
)

// listener wraps accepted connections.
type listener struct {
	net.Listener
	open *atomic.Int64
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &conn{Conn: c, open: l.open}, nil
}

// conn remembers that its input ended, which the chunked reader of the HTTP
// library does not tell from the end of a body.
type conn struct {
	net.Conn
	open    *atomic.Int64
	ended   atomic.Bool // a read failed, a time limit apart
	linger  atomic.Bool // drain before closing
	closing sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
	return n, err
}

// Close closes the connection, after a bounded drain when asked for.
func (c *conn) Close() error {
	c.closing.Do(func() { c.open.Add(-1) })
	if c.linger.Swap(false) && !c.ended.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *conn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// lingerClose closes the connection after the answer.
func lingerClose(fctx *fasthttp.RequestCtx) {
	fctx.SetConnectionClose()
	if c, ok := fctx.Conn().(*conn); ok {
		c.linger.Store(true)
	}
}
