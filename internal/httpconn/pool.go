package httpconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout     = 1 * time.Second
	idleConnTimeout = 30 * time.Second // unless the server says less
)

// ErrNoConnection means that ctx ended before a connection was free.
var ErrNoConnection = errors.New("httpconn: no free connection")

// Pool hands out connections to one address, at most limit at a time.
type Pool struct {
	Addr   string
	tokens chan struct{} // one for each connection in use; full: get waits

	mu     sync.Mutex // guards idle and closed
	idle   []*Conn    // the most recently used last
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(addr string, limit int) *Pool {
	return &Pool{Addr: addr, tokens: make(chan struct{}, limit)}
}

// Get returns an idle connection that is still open, or a new one.
func (p *Pool) Get(ctx context.Context, fresh bool) (*Conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrNoConnection
	}
	if !fresh {
		if c := p.takeIdle(); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	return newConn(nc), nil
}

func (p *Pool) takeIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(c.idleAt) < c.idleLimit() && c.usable() {
			c.WrittenBytes = 0
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Put returns a connection after an exchange; keep is false when its state is
// not known to be clean.
func (p *Pool) Put(c *Conn, keep bool) {
	defer func() { <-p.tokens }()
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
	c.idleAt = time.Now()
	p.idle = append(p.idle, c)
}

// Close closes the idle connections; those in use close when they are put.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Limit returns how many connections may be in use at once.
func (p *Pool) Limit() int { return cap(p.tokens) }
