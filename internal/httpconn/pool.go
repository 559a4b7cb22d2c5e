package httpconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/netlimit"
)

const (
	dialTimeout     = 1 * time.Second
	idleConnTimeout = 30 * time.Second // upper bound; a server may announce a shorter time
)

// serverSockets bounds what the kernel holds of answers that wait for room, and of requests that a
// server reads slowly. The server is on this host.
var serverSockets = netlimit.Sockets{BufferBytes: 64 << 10}

// ErrNoConnection means that the context ended before the limit of the pool
// allowed another connection.
var ErrNoConnection = errors.New("httpconn: no free connection")

// Pool provides connections to one address and bounds how many are in use at once.
// It is safe for concurrent use.
type Pool struct {
	Addr  string
	inUse chan struct{} // holds one element for each connection in use; Get waits while it is full

	mu     sync.Mutex // guards idle and closed
	idle   []*Conn    // ordered by last use, the most recent last
	closed bool
}

// NewPool returns a pool that has no connections yet and lets at most limit of them
// be in use at once.
func NewPool(addr string, limit int) *Pool {
	return &Pool{Addr: addr, inUse: make(chan struct{}, limit)}
}

// Get returns an idle connection that is still open or else dials a new one; with
// forceNew it always dials. It waits while the limit is reached and returns
// ErrNoConnection if ctx ends meanwhile. The caller must hand the connection back
// with Put.
func (p *Pool) Get(ctx context.Context, forceNew bool) (*Conn, error) {
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrNoConnection
	}
	if !forceNew {
		if c := p.popIdle(); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout, Control: serverSockets.ControlDial}
	nc, err := d.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		<-p.inUse
		return nil, err
	}
	return newConn(nc), nil
}

// popIdle removes and returns the most recently used idle connection that is
// usable, or nil. It closes the unusable connections that it finds.
func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(c.idleSince) < c.idleLimit() && c.usable() {
			c.WrittenBytes = 0
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Put hands a connection back after an exchange. The pool closes it if keep is
// false, which the caller passes unless the exchange left the connection ready for
// another one.
func (p *Pool) Put(c *Conn, keep bool) {
	defer func() { <-p.inUse }()
	if !keep || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	c.Reused = true
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Put closes those that are still in use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Limit returns the maximum number of connections in use at once.
func (p *Pool) Limit() int { return cap(p.inUse) }
