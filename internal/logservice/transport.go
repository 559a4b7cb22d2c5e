package logservice

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/httpconn"
)

const maxIdleConns = 4

// exchangeError is a failed exchange. With sent false no byte of the request
// left this process.
type exchangeError struct {
	sent bool
	err  error
}

func (e *exchangeError) Error() string { return "logservice: exchange: " + e.err.Error() }

func (e *exchangeError) Unwrap() error { return e.err }

// countingConn counts the bytes written, so that a request that certainly did
// not leave can be told from one that may have.
type countingConn struct {
	net.Conn
	written int
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// connection is used by one call at a time.
type connection struct {
	conn  *countingConn
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // when it became idle
}

// connPool keeps a few idle connections to the log service.
type connPool struct {
	host     string // host:port
	useTLS   bool
	idleTime time.Duration

	mu     sync.Mutex // guards idle and closed
	idle   []*connection
	closed bool
}

func newConnPool(base *url.URL, idleTime time.Duration) *connPool {
	useTLS := base.Scheme == "https"
	return &connPool{
		host:     fasthttp.AddMissingPort(base.Host, useTLS),
		useTLS:   useTLS,
		idleTime: idleTime,
	}
}

func (p *connPool) get(ctx context.Context) (*connection, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: conn}
	checked := httpconn.NewAnswerConn(counting)
	return &connection{
		conn: counting,
		r:    bufio.NewReader(checked),
		w:    bufio.NewWriter(checked),
	}, nil
}

func (p *connPool) dial(ctx context.Context) (net.Conn, error) {
	if p.useTLS {
		d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS12}}
		return d.DialContext(ctx, "tcp", p.host)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", p.host)
}

func (p *connPool) takeIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if time.Since(c.since) < p.idleTime {
			return c
		}
		_ = c.conn.Close()
	}
	return nil
}

func (p *connPool) put(c *connection) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// call makes one HTTP exchange within the timeout and the life of ctx.
func (c *Client) call(ctx context.Context, method string, u *url.URL, body []byte, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.conns.get(ctx)
	if err != nil {
		return answer{}, &exchangeError{err: fmt.Errorf("connect: %w", err)}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(u.String())
	req.URI().DisablePathNormalizing = true // keeps an escaped slash in a name
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	a, keep, err := conn.exchange(ctx, req, c.cfg.MaxAnswerBytes)
	if keep {
		c.conns.put(conn)
	} else {
		_ = conn.conn.Close()
	}
	return a, err
}

// exchange sends req and reads the answer. keep reports whether the connection
// can carry another exchange.
func (c *connection) exchange(ctx context.Context, req *fasthttp.Request, maxBytes int) (a answer, keep bool, err error) {
	before := c.conn.written
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return answer{}, false, &exchangeError{err: err}
	}
	expired := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(expired) })
	a, keep, err = c.roundTrip(req, maxBytes)
	if !stop() {
		keep = false
	}
	if err != nil {
		return answer{}, false, &exchangeError{sent: c.conn.written > before, err: err}
	}
	return a, keep, nil
}

func (c *connection) roundTrip(req *fasthttp.Request, maxBytes int) (answer, bool, error) {
	if err := req.Write(c.w); err != nil {
		return answer{}, false, fmt.Errorf("write: %w", err)
	}
	if err := c.w.Flush(); err != nil {
		return answer{}, false, fmt.Errorf("write: %w", err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, maxBytes); err != nil {
		return answer{}, false, fmt.Errorf("read: %w", err)
	}
	body := append([]byte(nil), resp.Body()...)
	return answer{status: resp.StatusCode(), body: body}, !resp.ConnectionClose(), nil
}
