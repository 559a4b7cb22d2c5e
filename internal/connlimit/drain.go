package connlimit

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// drainInterval is the time between two looks at closed connections whose clients have not taken
// all of the last answer.
const drainInterval = 200 * time.Millisecond

// Drainer closes the connections of its listeners. Of a few, the kernel delivers the rest of the answer after the close,
// and gives up by itself. If clients that take nothing make the daemon close more of them, it first
// waits for them, and resets those that have waited for longest above a limit of the bytes.
type Drainer struct {
	all    int           // bytes that may wait
	direct *rate.Limiter // connections closed without a wait
	added  chan struct{} // wakes Run; capacity 1
	resets atomic.Int64

	mu      sync.Mutex // guards the fields below
	waiting []draining // the longest waiting one first
	bytes   int        // of all that wait, when they were closed
}

// draining is a connection that was closed for the daemon.
type draining struct {
	conn  net.Conn
	bytes int // that its client had not taken
}

// NewDrainer returns a Drainer for connections of which the kernel keeps at most each bytes for
// their clients, and for a time. All of them together keep at most all bytes after the close, and
// as many before it. Run must run.
func NewDrainer(each, all int, kept time.Duration) *Drainer {
	d := &Drainer{all: all, direct: rate.NewLimiter(rate.Inf, 0), added: make(chan struct{}, 1)}
	if all < math.MaxInt64 {
		n := max(all/each/2, 1) // of a burst, and as many again while the kernel keeps them
		d.direct = rate.NewLimiter(rate.Every(kept/time.Duration(n)), n)
	}
	return d
}

// Listener returns a TCP listener on top of ln whose connections d closes.
func (d *Drainer) Listener(ln net.Listener) net.Listener { return drainedListener{ln, d} }

type drainedListener struct {
	net.Listener
	drainer *Drainer
}

// Accept implements net.Listener.
func (l drainedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &drainedConn{TCPConn: tcp, drainer: l.drainer}, nil
	}
	return c, err
}

// drainedConn is a connection that a Drainer closes.
type drainedConn struct {
	*net.TCPConn
	drainer *Drainer
	abort   atomic.Bool // its end must not wait for the client
}

// SetLinger sets what becomes of unsent bytes. With zero they are discarded by Close.
func (c *drainedConn) SetLinger(seconds int) error {
	c.abort.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *drainedConn) Close() error {
	if c.abort.Load() {
		return c.TCPConn.Close()
	}
	return c.drainer.close(c.TCPConn)
}

// close closes a connection, or keeps it until its client has taken all.
func (d *Drainer) close(c *net.TCPConn) error {
	if d.direct.Allow() {
		return c.Close()
	}
	n := unsentBytes(c)
	if n == 0 || c.CloseWrite() != nil {
		return c.Close()
	}
	d.mu.Lock()
	d.waiting = append(d.waiting, draining{c, n})
	d.bytes += n
	surplus := d.takeSurplus()
	d.mu.Unlock()
	d.resets.Add(int64(len(surplus)))
	for _, s := range surplus {
		closeSurplus(s.conn)
	}
	select {
	case d.added <- struct{}{}:
	default: // a signal is already pending
	}
	return nil
}

// Resets returns how many closed connections have been reset because too much of their last answers
// was unread.
func (d *Drainer) Resets() int64 { return d.resets.Load() }

// takeSurplus removes the longest waiting connections until the others are within the limit. The
// caller holds d.mu.
func (d *Drainer) takeSurplus() []draining {
	n := 0
	for n < len(d.waiting) && d.bytes > d.all {
		d.bytes -= d.waiting[n].bytes
		n++
	}
	surplus := d.waiting[:n:n]
	d.waiting = d.waiting[n:]
	return surplus
}

// Run is the duty that ends connections whose clients have taken all. It closes all others when ctx
// ends.
func (d *Drainer) Run(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.direct.SetLimit(rate.Inf) // nobody looks at those that would wait
			d.closeDrained(func(net.Conn) bool { return true })
			return nil
		case <-d.added:
		}
		for waiting := true; waiting && ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-ticker.C:
				waiting = d.closeDrained(func(c net.Conn) bool { return unsentBytes(c) == 0 })
			}
		}
	}
}

// closeDrained closes the waiting connections of which isDrained is true, and reports whether others
// wait.
func (d *Drainer) closeDrained(isDrained func(net.Conn) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var rest []draining
	for _, w := range d.waiting {
		if isDrained(w.conn) {
			d.bytes -= w.bytes
			_ = w.conn.Close() // nothing is left to send
			continue
		}
		rest = append(rest, w)
	}
	d.waiting = rest
	return len(rest) > 0
}
