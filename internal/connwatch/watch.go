// Package connwatch detects callers that disconnect while their request is being
// served and cancels the work for them. The server does not read from a caller's
// connection during that time, so a Watcher peeks at the sockets at regular
// intervals.
package connwatch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watcher cancels calls whose caller has closed the connection. It examines only
// calls that have lasted for a whole interval. It is safe for concurrent use.
type Watcher struct {
	interval time.Duration

	added chan struct{} // signals that there is a call to watch; capacity 1

	mu    sync.Mutex // guards calls and seenBefore of each call
	calls map[*Call]struct{}
}

// Call is one call in progress.
type Call struct {
	conn       net.Conn
	cancel     func()
	seenBefore bool // an earlier check found the call in progress; guarded by Watcher.mu
}

// New returns a watcher that examines the calls once per interval.
func New(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, added: make(chan struct{}, 1), calls: make(map[*Call]struct{})}
}

// Add starts to watch the connection of a call. The watcher calls cancel, perhaps
// more than once, after the caller has closed the connection.
func (w *Watcher) Add(c net.Conn, cancel func()) *Call {
	call := &Call{conn: c, cancel: cancel}
	w.mu.Lock()
	w.calls[call] = struct{}{}
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default: // a signal is already pending
	}
	return call
}

// Remove stops watching a call. It ignores nil.
func (w *Watcher) Remove(c *Call) {
	w.mu.Lock()
	delete(w.calls, c)
	w.mu.Unlock()
}

// Run checks the calls once per interval until ctx ends, and sleeps while there are none.
// It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if w.cancelAbandoned() > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-w.added:
		}
	}
}

// cancelAbandoned cancels the calls whose caller has closed the connection, except
// those added since the previous check. It returns the number of calls.
func (w *Watcher) cancelAbandoned() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		if c.seenBefore && PeerClosed(c.conn) {
			c.cancel()
		}
		c.seenBefore = true
	}
	return len(w.calls)
}

// PeerClosed reports whether the peer has closed the connection or its sending side.
// It cannot detect this while unread bytes are pending, for example of a pipelined
// request.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var closed bool
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err != nil || closed
}
