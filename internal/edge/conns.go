package edge

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/connlimit"
	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/held"
)

// setState is the ConnState hook of the HTTP server.
func (s *Server) setState(c net.Conn, state fasthttp.ConnState) {
	if rc, ok := c.(*recordingConn); ok && (state == fasthttp.StateIdle || state == fasthttp.StateClosed) {
		rc.answer.Release() // it is written, or never will be
		rc.releaseRequest()
	}
	s.conns.SetState(c, state)
}

// callerListener accepts connections that record whether the caller has ended its sending
// side.
type callerListener struct {
	net.Listener
	memory     *held.Memory
	conns      *connlimit.Table
	unreadTime time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.memory.AddConnection()
	return &recordingConn{Conn: c, memory: l.memory, conns: l.conns, unreadTime: l.unreadTime}, nil
}

// recordingConn is a connection of which one goroutine at a time reads and writes.
type recordingConn struct {
	net.Conn
	memory     *held.Memory
	conns      *connlimit.Table
	unreadTime time.Duration
	answer     held.Answer // that is being written
	served     bool        // room for a request is reserved
	headBytes  int         // that is reserved for its head
	wide       atomic.Bool // its kernel buffers are enlarged and counted
	ended      bool        // a read has met the end of what the caller sends
	closed     atomic.Bool // Close was called
}

// Read implements net.Conn.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.ended = c.ended || err == io.EOF
	return n, err
}

// SyscallConn implements syscall.Conn, by which callers that disconnect are detected.
func (c *recordingConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// SetLinger sets what becomes of unsent bytes at the end of the connection, as net.TCPConn does.
func (c *recordingConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// widen enlarges the kernel's buffers of the connection for a long body or answer, if there is
// room for that. Without, both take more round trips.
func (c *recordingConn) widen() {
	tcp, ok := c.Conn.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	})
	if !ok || c.wide.Load() || !c.memory.WidenSocket() {
		return
	}
	c.wide.Store(true)
	_ = tcp.SetReadBuffer(heldmem.WideSocketBuffer)  // it may have been closed
	_ = tcp.SetWriteBuffer(heldmem.WideSocketBuffer) // as above
	if c.closed.Load() {
		c.narrow()
	}
}

// narrow ends the count of enlarged buffers.
func (c *recordingConn) narrow() {
	if c.wide.Swap(false) {
		c.memory.NarrowSocket()
	}
}

// sendingEnded reports whether a read has met the end of what the caller sends. Then a
// message that it was needed for is incomplete.
func sendingEnded(c net.Conn) bool {
	r, ok := c.(*recordingConn)
	return ok && r.ended
}
