package origin

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

const (
	maxStaleAnswers = 3 // answers read on one connection in search of the request's own

	// idleMargin is subtracted from the idle time that the server announces, so that
	// the client does not send a request while the server closes the connection.
	idleMargin = time.Second
	// defaultIdleLimit applies to servers that announce no idle time.
	defaultIdleLimit = 5 * time.Second
)

// Server identifies the backend server that a request is addressed to.
type Server struct {
	Addr string // host:port
	ID   string // sent in the TargetServer field
}

// Client sends requests to the backend server beside the daemon.
type Client struct {
	names hop.HeaderNames
	clock ident.Clock
	limit int // maximum number of connections in use at once

	memory *held.Memory // of the answers

	mu     sync.Mutex // guards pool and target
	pool   *httpconn.Pool
	target Server // server that the pool's connections lead to
}

// NewClient returns a client that opens at most limit connections at a time.
func NewClient(names hop.HeaderNames, limit int, clock ident.Clock) *Client {
	return &Client{names: names, limit: limit, clock: clock, memory: &held.Memory{}}
}

// UseMemory makes the client hold its answers in a memory that others share. It must be called
// before Do.
func (c *Client) UseMemory(m *held.Memory) { c.memory = m }

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.pool.Close()
	}
}

// poolFor returns the connection pool for a server. If the current pool belongs to
// another server, poolFor closes it, even if both servers have the same address.
func (c *Client) poolFor(s Server) *httpconn.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool == nil || c.target != s {
		if c.pool != nil {
			c.pool.Close()
		}
		c.pool, c.target = httpconn.NewPool(s.Addr, c.limit), s
	}
	return c.pool
}

// Do sends a request to the server and returns its answer, which is never nil. A
// Failure with the truth not-run means that the server has not run the request and
// will not run it.
func (c *Client) Do(ctx context.Context, to Server, r *hop.Request) *hop.Answer {
	if err := ctx.Err(); err != nil {
		e := errkind.New(errkind.Canceled, "canceled before the hand-over: %w", err)
		if errors.Is(err, context.DeadlineExceeded) {
			e = errkind.New(errkind.DeadlineBeforeStart, "%w", err)
		}
		e.Truth = errkind.NotRun
		return hop.FailedAnswer(e)
	}
	pool := c.poolFor(to)
	a, retry := c.attempt(ctx, pool, to, r, false)
	if retry {
		a, _ = c.attempt(ctx, pool, to, r, true)
	}
	return a
}

// attempt makes one exchange. The second result is true if the exchange should be
// repeated on a fresh connection: the idle connection was dead and no byte of the
// request was sent.
func (c *Client) attempt(ctx context.Context, pool *httpconn.Pool, to Server, r *hop.Request, fresh bool) (*hop.Answer, bool) {
	conn, err := pool.Get(ctx, fresh)
	if err == nil && mayHoldCopies(conn, r) {
		pool.Put(conn, true)
		conn, err = pool.Get(ctx, true)
	}
	switch {
	case errors.Is(err, httpconn.ErrNoConnection):
		return hop.FailedAnswer(errkind.New(errkind.Overloaded, "no connection to the backend server is free: %w", err)), false
	case err != nil:
		return hop.FailedAnswer(dialError(err)), false
	}
	x := &exchange{ctx: ctx, names: &c.names, conn: conn, req: r, target: to, memory: c.memory}
	stopCancel := context.AfterFunc(ctx, func() {
		x.canceled.Store(true)
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	left := r.TimeLeft(c.clock.Now())
	a, keep := x.run(time.Now().Add(left), left)
	keep = keep && len(conn.Refused) < maxRefused
	stopped := stopCancel()
	// Read everything needed from conn before Put: afterwards the connection belongs
	// to the next request.
	a.ReachedBackend = conn.WrittenBytes > 0
	a.ConnectionLost = a.Failure != nil && a.ReachedBackend && isConnectionLoss(a.Failure)
	retry := a.Failure != nil && !a.ReachedBackend && conn.Reused && !fresh && !x.canceled.Load()
	pool.Put(conn, keep && stopped)
	return a, retry
}

// dialError returns the error for a connection that could not be opened. Nothing was
// sent on it.
func dialError(err error) *errkind.Error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errkind.New(errkind.BackendUnavailable, "the backend server refused the connection: %w", err)
	}
	return errkind.New(errkind.BackendUnavailable, "connect to the backend server: %w", err)
}

// exchange is one request and its answer on one connection.
type exchange struct {
	names    *hop.HeaderNames
	conn     *httpconn.Conn
	req      *hop.Request
	target   Server
	memory   *held.Memory // see Client.memory
	ctx      context.Context
	canceled atomic.Bool // the request's context ended
}

// run sends the request and reads its answer. keep reports whether the connection
// can carry another request. deadline and left are the same limit as a time of the
// system clock and as a duration.
func (x *exchange) run(deadline time.Time, left time.Duration) (a *hop.Answer, keep bool) {
	if left < time.Millisecond {
		return hop.FailedAnswer(errkind.New(errkind.DeadlineBeforeStart, "no time left")), x.conn.Reused
	}
	if err := x.conn.SetDeadline(deadline); err != nil {
		return x.fail(err), false
	}
	if x.canceled.Load() {
		return x.fail(context.Canceled), false
	}
	if err := x.send(left); err != nil {
		return x.answerAfterSendError(err), false
	}
	return x.receive()
}

// send writes the request to the connection.
func (x *exchange) send(left time.Duration) error {
	h := requestHeaders.Get().(*fasthttp.RequestHeader)
	defer func() {
		h.Reset()
		requestHeaders.Put(h)
	}()
	x.fillHeader(h, left)
	if err := h.Write(x.conn.W); err != nil {
		return err
	}
	if _, err := x.conn.W.Write(x.req.Body); err != nil {
		return err
	}
	return x.conn.W.Flush()
}

var (
	requestHeaders = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	answerHeaders  = sync.Pool{New: func() any { return new(fasthttp.ResponseHeader) }}
)

// fillHeader sets the request line and header from the parsed request, with the
// fields that the daemon itself sets.
func (x *exchange) fillHeader(h *fasthttp.RequestHeader, left time.Duration) {
	r := x.req
	h.SetNoDefaultContentType(true)
	h.DisableNormalizing()
	h.SetMethod(r.Method)
	h.SetRequestURI(r.URI)
	h.SetHost(r.Host)
	for _, f := range r.Header {
		h.Add(f.Name, f.Value)
	}
	if r.ID != "" {
		h.Set(x.names.RequestID, r.ID)
	}
	h.Set(x.names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(x.names.TargetServer, x.target.ID)
	if r.Caller != "" {
		h.Set(x.names.CallerService, r.Caller)
	}
	if r.Key != hop.NoKey {
		h.Set(x.names.ShardKey, strconv.Itoa(r.Key))
	}
	if r.Trace != "" {
		h.Set("traceparent", r.Trace)
	}
	if len(r.Body) > 0 || r.Method == fasthttp.MethodPost || r.Method == fasthttp.MethodPut || r.Method == fasthttp.MethodPatch {
		h.SetContentLength(len(r.Body))
	}
}

// answerAfterSendError returns the answer to a request that could not be sent
// completely. The server may have answered before it read the whole request. Such an
// answer is used if it is valid or states that the request did not run; otherwise the
// failure is that of sendErr.
func (x *exchange) answerAfterSendError(sendErr error) *hop.Answer {
	if x.conn.WrittenBytes == 0 || x.canceled.Load() || x.conn.R.Buffered() == 0 && !httpconn.Readable(x.conn.Conn) {
		return x.fail(sendErr)
	}
	a, _ := x.receive()
	if a.Failure != nil && a.Failure.Answer().Truth != errkind.NotRun {
		return x.fail(sendErr)
	}
	return a
}

// fail returns the failure of an exchange. Its kind depends on whether a byte of the
// request was sent, and on whether the caller canceled or the deadline passed.
func (x *exchange) fail(err error) *hop.Answer {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	var e *errkind.Error
	switch sent := x.conn.WrittenBytes > 0; {
	case !sent && x.canceled.Load():
		e = errkind.New(errkind.Canceled, "canceled before the hand-over: %w", err)
		e.Truth = errkind.NotRun
	case !sent && timedOut:
		e = errkind.New(errkind.DeadlineBeforeStart, "%w", err)
	case !sent:
		e = errkind.New(errkind.BackendUnavailable, "nothing was sent: %w", err)
	case x.canceled.Load():
		e = errkind.New(errkind.Canceled, "canceled while the request ran: %w", err)
	case timedOut:
		e = errkind.New(errkind.DeadlineAfterStart, "no answer in time: %w", err)
	default:
		e = errkind.New(errkind.OutcomeUnknown, "the connection to the backend server failed: %w", err)
	}
	return hop.FailedAnswer(e)
}
