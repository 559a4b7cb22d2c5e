package connlimit

import (
	"context"
	"net"
	"time"
)

// unreadInterval is the time between two looks at what the clients of idle connections have not
// taken. What is unread at two looks in a row is not just on its way.
const unreadInterval = 500 * time.Millisecond

// unreadLimits bound the bytes that the kernel keeps for clients of idle connections.
type unreadLimits struct {
	each, all int // of one connection, at most, and of all together
}

// idleConn is an idle connection whose client has not taken all of the answers.
type idleConn struct {
	conn   net.Conn
	unread int  // bytes
	before bool // it was so at the previous look
}

// LimitUnread bounds the bytes that the kernel keeps for clients of idle connections, of which one
// keeps at most each. CutUnread must run. LimitUnread must be called before the server serves.
func (t *Table) LimitUnread(each, all int) { t.unread = unreadLimits{each: each, all: all} }

// CutUnread is the duty that closes connections whose clients leave too much of their answers
// unread. It looks only while there are enough idle connections to exceed the limit.
func (t *Table) CutUnread(ctx context.Context) error {
	ticker := time.NewTicker(unreadInterval)
	defer ticker.Stop()
	seen := make(map[net.Conn]bool)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.crowded:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := make(map[net.Conn]bool)
		var unread []idleConn
		for _, c := range t.idleConns() {
			if n := unsentBytes(c); n > 0 {
				now[c] = true
				unread = append(unread, idleConn{c, n, seen[c]})
			}
		}
		seen = now
		for _, c := range chooseUnread(unread, t.unread.all) {
			if t.removeIdle(c) {
				t.cutUnread.Add(1)
				closeSurplus(c) // its reader ends and reports the state
			}
		}
	}
}

// idleConns returns the idle connections, the longest idle one first, and asks to be called again
// while they may exceed the limit.
func (t *Table) idleConns() []net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]net.Conn, 0, t.waiting[idle].Len())
	for e := t.waiting[idle].Front(); e != nil; e = e.Next() {
		conns = append(conns, e.Value.(net.Conn))
	}
	t.signalCrowd()
	return conns
}

// removeIdle removes a connection if it is still idle.
func (t *Table) removeIdle(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.conns[c]
	if e == nil || e.stage != idle {
		return false
	}
	t.remove(c)
	return true
}

// signalCrowd wakes CutUnread if idle connections may exceed the limit of unread bytes. The caller
// holds t.mu.
func (t *Table) signalCrowd() {
	if t.unread.each == 0 || t.waiting[idle].Len()*t.unread.each <= t.unread.all {
		return
	}
	select {
	case t.crowded <- struct{}{}:
	default: // a signal is already pending
	}
}

// chooseUnread returns the connections to close so that the unread bytes of the others are at most
// a number, the longest idle ones first. Those seen for the first time are only counted.
func chooseUnread(conns []idleConn, most int) []net.Conn {
	sum := 0
	for _, c := range conns {
		sum += c.unread
	}
	var chosen []net.Conn
	for _, c := range conns {
		if sum <= most {
			break
		}
		if c.before {
			chosen = append(chosen, c.conn)
			sum -= c.unread
		}
	}
	return chosen
}
