// Package connwatch notices callers that leave while their request is served. It
// peeks at their sockets at intervals, since nobody reads from them meanwhile.
package connwatch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watcher cancels calls whose caller has gone. It looks only at calls that have
// lasted for a whole interval. It is safe for concurrent use.
type Watcher struct {
	interval time.Duration

	mu    sync.Mutex // guards calls and the seen flag of each
	calls map[*Call]struct{}
}

// Call is one call in progress.
type Call struct {
	conn   net.Conn
	cancel func()
	seen   bool // guarded by Watcher.mu
}

// New returns a watcher that looks once an interval.
func New(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, calls: make(map[*Call]struct{})}
}

// Add watches the connection of a call; cancel is called once it is gone, perhaps
// more than once.
func (w *Watcher) Add(c net.Conn, cancel func()) *Call {
	call := &Call{conn: c, cancel: cancel}
	w.mu.Lock()
	w.calls[call] = struct{}{}
	w.mu.Unlock()
	return call
}

// Remove ends the watch on a call; nil is ignored.
func (w *Watcher) Remove(c *Call) {
	w.mu.Lock()
	delete(w.calls, c)
	w.mu.Unlock()
}

// Run is the duty of the watcher.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.check()
		}
	}
}

func (w *Watcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.calls {
		if c.seen && PeerClosed(c.conn) {
			c.cancel()
		}
		c.seen = true
	}
}

// PeerClosed reports whether the peer has closed the connection or its sending side.
// Bytes that wait, as of a pipelined request, hide it.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var gone bool
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err != nil || gone
}
