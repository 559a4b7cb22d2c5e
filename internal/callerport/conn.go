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

// A connection whose request was not read to its end is drained before it is closed.
// Otherwise the unread bytes would cause a TCP reset, which destroys an answer that is
// still in transit. These limits bound the drain.
const (
	drainTimeout  = 2 * time.Second
	maxDrainBytes = 1 << 20
)

// listener wraps accepted connections in conn and counts them.
type listener struct {
	net.Listener
	openConns *atomic.Int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.openConns.Add(1)
	return &conn{Conn: c, openConns: l.openConns}, nil
}

// conn records that its input has ended, because the chunked reader of the HTTP library
// does not distinguish the end of the input from the end of a body.
type conn struct {
	net.Conn
	openConns    *atomic.Int64 // number of open connections of the listener
	inputEnded   atomic.Bool   // a read failed for another reason than a timeout
	drainOnClose atomic.Bool   // Close drains the input first
	closeOnce    sync.Once     // decrements openConns once
}

// Read implements net.Conn and records the end of the input.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.inputEnded.Store(true)
	}
	return n, err
}

// Close closes the connection, after a bounded drain if drainOnClose is set.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.openConns.Add(-1) })
	if c.drainOnClose.Swap(false) && !c.inputEnded.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

// drain closes the sending side and discards input, up to maxDrainBytes or for at most
// drainTimeout.
func (c *conn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
}

// closeAfterAnswer makes the connection close after the answer, with a drain first.
func closeAfterAnswer(fctx *fasthttp.RequestCtx) {
	fctx.SetConnectionClose()
	if c, ok := fctx.Conn().(*conn); ok {
		c.drainOnClose.Store(true)
	}
}
