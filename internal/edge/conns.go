package edge

import (
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/held"
)

// connTable holds the connections of callers.
type connTable struct {
	limit int // of open connections; the longest idle ones above it are closed

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]*callerConn
	idle   *list.List // of net.Conn, the longest idle one first
	active int        // number of active connections
}

// callerConn is the state of one connection.
type callerConn struct {
	active bool          // its request is served, or the answer written: the handler returns before that
	used   bool          // it has carried a request
	idle   *list.Element // nil while a request is read, served or answered
}

func newConnTable(limit int) *connTable {
	return &connTable{limit: limit, conns: make(map[net.Conn]*callerConn), idle: list.New()}
}

// setState is the ConnState hook of the HTTP server.
func (t *connTable) setState(c net.Conn, s fasthttp.ConnState) {
	if rc, ok := c.(*recordingConn); ok && (s == fasthttp.StateIdle || s == fasthttp.StateClosed) {
		rc.answer.Release() // it is written, or never will be
	}
	if surplus := t.record(c, s); surplus != nil {
		_ = surplus.Close() // its reader ends and reports the state
	}
}

// record records the state of a connection. It returns the one that has been idle for longest
// if more than limit are open.
func (t *connTable) record(c net.Conn, s fasthttp.ConnState) (surplus net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == fasthttp.StateNew {
		t.conns[c] = &callerConn{idle: t.idle.PushBack(c)}
		if len(t.conns) <= t.limit {
			return nil
		}
		surplus = t.idle.Front().Value.(net.Conn)
		t.remove(surplus)
		return surplus
	}
	cc := t.conns[c]
	if cc == nil {
		return nil
	}
	switch s {
	case fasthttp.StateActive:
		if cc.used { // a new connection is reported as active before its first byte
			t.removeIdle(cc)
		}
	case fasthttp.StateIdle:
		t.setActive(cc, false)
		t.removeIdle(cc)
		cc.idle = t.idle.PushBack(c)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.remove(c)
	case fasthttp.StateNew:
	}
	return nil
}

// begin records that a whole request has been read from a connection.
func (t *connTable) begin(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cc := t.conns[c]; cc != nil {
		t.removeIdle(cc)
		t.setActive(cc, true)
		cc.used = true
	}
}

// setActive sets whether a connection is active. The caller holds t.mu.
func (t *connTable) setActive(cc *callerConn, active bool) {
	switch {
	case active && !cc.active:
		t.active++
	case !active && cc.active:
		t.active--
	}
	cc.active = active
}

// removeIdle removes a connection from the list of idle ones. The caller holds t.mu.
func (t *connTable) removeIdle(cc *callerConn) {
	if cc.idle != nil {
		t.idle.Remove(cc.idle)
		cc.idle = nil
	}
}

// remove removes a connection. The caller holds t.mu.
func (t *connTable) remove(c net.Conn) {
	cc := t.conns[c]
	t.setActive(cc, false)
	t.removeIdle(cc)
	delete(t.conns, c)
}

// activeCount returns the number of active connections.
func (t *connTable) activeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// callerListener accepts connections that record whether the caller has ended its sending
// side.
type callerListener struct {
	net.Listener
	memory     *held.Memory
	unreadTime time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.memory.AddConnection()
	return &recordingConn{Conn: c, memory: l.memory, unreadTime: l.unreadTime}, nil
}

// recordingConn is a connection of which one goroutine at a time reads and writes.
type recordingConn struct {
	net.Conn
	memory     *held.Memory
	unreadTime time.Duration
	answer     held.Answer // that is being written
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

// sendingEnded reports whether a read has met the end of what the caller sends. Then a
// message that it was needed for is incomplete.
func sendingEnded(c net.Conn) bool {
	r, ok := c.(*recordingConn)
	return ok && r.ended
}
