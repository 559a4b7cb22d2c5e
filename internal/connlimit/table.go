// Package connlimit bounds the connections of an HTTP server. Above the limit it closes one of a
// client that uses it least: an idle one, else one on which a request has been read for longest,
// else one whose client takes its answer most slowly. Clients that hold connections on purpose
// thus leave room for others.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// stage is what a connection waits for.
type stage int

const (
	idle    stage = iota // the first byte of a request, or the first request
	reading              // the rest of a request
	slow                 // its client, to take the answer
	serving              // the server; never closed for others
)

// Table holds the open connections of a server. It is safe for concurrent use.
type Table struct {
	limit   int // of open connections
	unread  unreadLimits
	crowded chan struct{} // wakes CutUnread; capacity 1

	surplus, cutUnread atomic.Int64 // connections that were closed, see Closed

	mu      sync.Mutex // guards the fields below
	conns   map[net.Conn]*entry
	waiting [serving]*list.List // of net.Conn by stage, the longest waiting one first
	active  int                 // number of active connections
}

// entry is the state of one connection.
type entry struct {
	stage   stage
	element *list.Element // in the list of its stage, nil while serving
	active  bool          // its request is served, or the answer written: the handler returns before that
	used    bool          // it has carried a request
}

// NewTable returns a table of at most limit open connections.
func NewTable(limit int) *Table {
	t := &Table{limit: limit, crowded: make(chan struct{}, 1), conns: make(map[net.Conn]*entry)}
	for i := range t.waiting {
		t.waiting[i] = list.New()
	}
	return t
}

// Apply makes a server keep to a limit of its connections.
func Apply(s *fasthttp.Server, limit int) {
	t := NewTable(limit)
	handler := s.Handler
	s.ConnState = t.SetState
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		t.Begin(ctx.Conn())
		handler(ctx)
		t.Slow(ctx.Conn()) // until its answer is written
	}
}

// SetState is the ConnState hook of the HTTP server.
func (t *Table) SetState(c net.Conn, s fasthttp.ConnState) {
	if surplus := t.record(c, s); surplus != nil {
		t.surplus.Add(1)
		closeSurplus(surplus) // its reader ends and reports the state
	}
}

// closeSurplus closes a connection. If its client has not taken all that was sent, the kernel
// must not keep the rest for it.
func closeSurplus(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok && unsentBytes(c) > 0 {
		_ = l.SetLinger(0) // it may have been closed
	}
	_ = c.Close()
}

// unsentBytes returns the bytes written to a socket that its peer has not acknowledged, or zero if
// they cannot be told.
func unsentBytes(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return n
}

// record records the state of a connection. It returns the one to close if more than limit are
// open.
func (t *Table) record(c net.Conn, s fasthttp.ConnState) (surplus net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == fasthttp.StateNew {
		e := &entry{stage: serving}
		t.conns[c] = e
		t.move(c, e, idle)
		if len(t.conns) <= t.limit {
			return nil
		}
		surplus = t.chooseSurplus(c)
		t.remove(surplus)
		return surplus
	}
	e := t.conns[c]
	if e == nil {
		return nil
	}
	switch s {
	case fasthttp.StateActive:
		if e.used { // a new connection is reported as active before its first byte
			t.move(c, e, reading)
		}
	case fasthttp.StateIdle:
		t.setActive(e, false)
		t.move(c, e, idle)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		t.remove(c)
	case fasthttp.StateNew:
	}
	return nil
}

// chooseSurplus returns the connection to close for a new one, which is itself the last choice.
// The caller holds t.mu.
func (t *Table) chooseSurplus(newest net.Conn) net.Conn {
	for _, l := range t.waiting {
		if front := l.Front(); front != nil && front.Value.(net.Conn) != newest {
			return front.Value.(net.Conn)
		}
	}
	return newest
}

// Reading records that the head of a request has been read from a connection, and its body is not.
func (t *Table) Reading(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.conns[c]; e != nil && e.stage == idle {
		t.move(c, e, reading)
	}
}

// Begin records that a whole request has been read from a connection.
func (t *Table) Begin(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.conns[c]; e != nil {
		t.move(c, e, serving)
		t.setActive(e, true)
		e.used = true
	}
}

// Slow records that the client of a connection does not take its answer at once.
func (t *Table) Slow(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.conns[c]; e != nil && e.stage == serving {
		t.move(c, e, slow)
	}
}

// setActive sets whether a connection is active. The caller holds t.mu.
func (t *Table) setActive(e *entry, active bool) {
	switch {
	case active && !e.active:
		t.active++
	case !active && e.active:
		t.active--
	}
	e.active = active
}

// move puts a connection at the end of those of a stage. The caller holds t.mu.
func (t *Table) move(c net.Conn, e *entry, to stage) {
	if e.element != nil {
		t.waiting[e.stage].Remove(e.element)
		e.element = nil
	}
	if e.stage = to; to != serving {
		e.element = t.waiting[to].PushBack(c)
	}
	t.signalCrowd()
}

// remove removes a connection. The caller holds t.mu.
func (t *Table) remove(c net.Conn) {
	e := t.conns[c]
	t.setActive(e, false)
	t.move(c, e, serving)
	delete(t.conns, c)
}

// Closed returns how many connections have been closed because more than the limit were open, and
// because their clients had left too much unread.
func (t *Table) Closed() (surplus, unread int64) { return t.surplus.Load(), t.cutUnread.Load() }

// Active returns the number of connections on which a request is being served or an answer
// written.
func (t *Table) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}
