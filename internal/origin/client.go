package origin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

const (
	maxAnswerBytes = 128 << 20
	maxStale       = 3 // answers to earlier requests skipped on one connection

	// idleMargin is taken off the time that the server keeps idle connections, so
	// that a request does not cross its close.
	idleMargin = time.Second
	// unstatedIdle holds for servers that do not state that time.
	unstatedIdle = 5 * time.Second
)

// Server is the backend server that a request is meant for.
type Server struct {
	Addr string
	ID   string
}

// Client hands requests to the server beside the daemon.
type Client struct {
	names hop.Names
	clock ident.Clock
	limit int // connections in use at once

	mu   sync.Mutex // guards pool and to
	pool *httpconn.Pool
	to   Server
}

// NewClient returns a client that opens at most limit connections at a time.
func NewClient(names hop.Names, limit int, clock ident.Clock) *Client {
	return &Client{names: names, limit: limit, clock: clock}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil {
		c.pool.Close()
	}
}

// poolOf returns the connections to a server. Those to another server that had
// the address before are given up.
func (c *Client) poolOf(s Server) *httpconn.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool == nil || c.to != s {
		if c.pool != nil {
			c.pool.Close()
		}
		c.pool, c.to = httpconn.NewPool(s.Addr, c.limit), s
	}
	return c.pool
}

// Do runs a request on the server. It always returns an answer; a Failure with
// the truth not-run means that the server does not and will not run the request.
func (c *Client) Do(ctx context.Context, to Server, r *hop.Request) *hop.Answer {
	pool := c.poolOf(to)
	a, again := c.attempt(ctx, pool, to, r, false)
	if again {
		a, _ = c.attempt(ctx, pool, to, r, true)
	}
	return a
}

// attempt makes one exchange. The last result asks for another one on a fresh
// connection: the idle one was dead and no byte of the request had left.
func (c *Client) attempt(ctx context.Context, pool *httpconn.Pool, to Server, r *hop.Request, fresh bool) (*hop.Answer, bool) {
	conn, err := pool.Get(ctx, fresh)
	switch {
	case errors.Is(err, httpconn.ErrNoConnection):
		return hop.Fail(errkind.New(errkind.Overloaded, "no connection to the backend server is free: %w", err)), false
	case err != nil:
		return hop.Fail(dialError(err)), false
	}
	x := &exchange{names: &c.names, conn: conn, req: r, to: to}
	unwatch := context.AfterFunc(ctx, func() {
		x.canceled.Store(true)
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	left := r.Left(c.clock.Now())
	a, keep := x.run(time.Now().Add(left), left)
	stopped := unwatch()
	// Once it is put back, the connection belongs to the next request.
	a.Reached = conn.WrittenBytes > 0
	again := a.Failure != nil && !a.Reached && conn.Reused && !fresh && !x.canceled.Load()
	pool.Put(conn, keep && stopped)
	return a, again
}

// dialError names a failed connection. Nothing was sent.
func dialError(err error) *errkind.Error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errkind.New(errkind.BackendUnavailable, "the backend server refused the connection: %w", err)
	}
	return errkind.New(errkind.BackendUnavailable, "connect to the backend server: %w", err)
}

// exchange is one request and its answer on one connection.
type exchange struct {
	names    *hop.Names
	conn     *httpconn.Conn
	req      *hop.Request
	to       Server
	canceled atomic.Bool
}

// run sends the request and reads its answer; keep says that the connection is
// clean for another request.
func (x *exchange) run(due time.Time, left time.Duration) (a *hop.Answer, keep bool) {
	if left < time.Millisecond {
		return hop.Fail(errkind.New(errkind.DeadlineBeforeStart, "no time left")), x.conn.Reused
	}
	if err := x.conn.SetDeadline(due); err != nil {
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

func (x *exchange) send(left time.Duration) error {
	h := requestHeaders.Get().(*fasthttp.RequestHeader)
	defer func() {
		h.Reset()
		requestHeaders.Put(h)
	}()
	x.fill(h, left)
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

// fill writes the request line and header anew from the parsed request.
func (x *exchange) fill(h *fasthttp.RequestHeader, left time.Duration) {
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
	h.Set(x.names.TargetServer, x.to.ID)
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

// answerAfterSendError looks for an answer that the server gave before it had
// read the whole request.
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

// fail names a failed exchange by what left for the server.
func (x *exchange) fail(err error) *hop.Answer {
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	var e *errkind.Error
	switch sent := x.conn.WrittenBytes > 0; {
	case !sent && x.canceled.Load():
		e = errkind.New(errkind.Canceled, "canceled before the hand-over: %w", err)
		e.Truth = errkind.NotRun
	case !sent && timeout:
		e = errkind.New(errkind.DeadlineBeforeStart, "%w", err)
	case !sent:
		e = errkind.New(errkind.BackendUnavailable, "nothing was sent: %w", err)
	case x.canceled.Load():
		e = errkind.New(errkind.Canceled, "canceled while the request ran: %w", err)
	case timeout:
		e = errkind.New(errkind.DeadlineAfterStart, "no answer in time: %w", err)
	default:
		e = errkind.New(errkind.OutcomeUnknown, "the connection to the backend server failed: %w", err)
	}
	return hop.Fail(e)
}

// receive reads answers until the one that belongs to the request: a server may
// still send a second answer to the request before.
func (x *exchange) receive() (*hop.Answer, bool) {
	h := answerHeaders.Get().(*fasthttp.ResponseHeader)
	defer func() {
		h.Reset()
		answerHeaders.Put(h)
	}()
	for range maxStale {
		h.Reset()
		h.DisableNormalizing()
		if err := x.readHeader(h); err != nil {
			return x.fail(err), false
		}
		body, keep, err := x.readBody(h)
		if err != nil {
			return x.broken(h, err), false
		}
		if x.foreign(h) {
			if !keep {
				break
			}
			continue
		}
		return x.answer(h, body), keep && x.conn.R.Buffered() == 0
	}
	return hop.Fail(errkind.New(errkind.OutcomeUnknown, "only answers to other requests came")), false
}

// readHeader reads a final header and skips informational ones.
func (x *exchange) readHeader(h *fasthttp.ResponseHeader) error {
	for {
		if err := h.Read(x.conn.R); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// foreign reports whether an answer names another request.
func (x *exchange) foreign(h *fasthttp.ResponseHeader) bool {
	id := peek(h, x.names.RequestID)
	return id != "" && id != x.req.ID
}

// peek finds a field whatever its case.
func peek(h *fasthttp.ResponseHeader, name string) string {
	for k, v := range h.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// broken is the answer for one whose body did not arrive whole. A refusal says
// what it has to say in its header.
func (x *exchange) broken(h *fasthttp.ResponseHeader, err error) *hop.Answer {
	if !x.foreign(h) && peek(h, x.names.NotRun) != "" {
		return x.refused(h)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || x.canceled.Load() {
		return x.fail(err)
	}
	return hop.Fail(errkind.New(errkind.AnswerCut, "%w", err))
}

// readBody reads the body of an answer; keep is false if the connection ends with
// it.
func (x *exchange) readBody(h *fasthttp.ResponseHeader) (body []byte, keep bool, err error) {
	x.conn.IdleLimit = idleLimit(peek(h, fasthttp.HeaderKeepAlive))
	keep = !h.ConnectionClose()
	status := h.StatusCode()
	if x.req.Method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil, keep, nil
	}
	r, n, err := httpconn.NewBodyReader(x.conn.R, h)
	if errors.Is(err, httpconn.ErrNoLength) {
		r, keep, err = x.conn.R, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	if n > maxAnswerBytes {
		return nil, false, errors.New("origin: answer is too long")
	}
	var buf bytes.Buffer
	if n > 0 {
		buf.Grow(int(n))
	}
	if _, err := buf.ReadFrom(io.LimitReader(r, maxAnswerBytes)); err != nil {
		return nil, false, err
	}
	return buf.Bytes(), keep, nil
}

// idleLimit returns how long a connection may stay idle by a Keep-Alive field.
func idleLimit(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return max(time.Duration(s)*time.Second-idleMargin, idleMargin/2)
		}
	}
	return unstatedIdle
}

// answer judges an answer that arrived whole.
func (x *exchange) answer(h *fasthttp.ResponseHeader, body []byte) *hop.Answer {
	status := h.StatusCode()
	if peek(h, x.names.NotRun) != "" || status == fasthttp.StatusMisdirectedRequest {
		return x.refused(h)
	}
	success := status < fasthttp.StatusMultipleChoices
	switch {
	case success && peek(h, x.names.Signature) == "":
		return hop.Fail(errkind.New(errkind.AnswerCut, "a success without signature"))
	case success && peek(h, x.names.RequestID) == "":
		return hop.Fail(errkind.New(errkind.AnswerCut, "a success that names no request"))
	case peek(h, fasthttp.HeaderContentEncoding) != "":
		return hop.Fail(errkind.New(errkind.AnswerCut, "the body is encoded, which nobody asked for"))
	}
	return &hop.Answer{Status: status, Header: x.endToEnd(h), Body: body}
}

// refused is the answer of a server that states that it did not run the request.
func (x *exchange) refused(h *fasthttp.ResponseHeader) *hop.Answer {
	kind := errkind.BackendRefused
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		kind = errkind.NotOwner
	}
	return hop.Fail(errkind.New(kind, "the backend server did not run the request: status %d", h.StatusCode()))
}

// endToEnd returns the fields of an answer that concern its receiver.
func (x *exchange) endToEnd(h *fasthttp.ResponseHeader) []hop.Field {
	var fields []hop.Field
	for k, v := range h.All() {
		name := string(k)
		if hop.HopByHop(name) || strings.EqualFold(name, x.names.RequestID) || strings.EqualFold(name, x.names.Load) {
			continue
		}
		fields = append(fields, hop.Field{Name: name, Value: string(v)})
	}
	return fields
}

// Probe reports whether the address accepts connections.
func Probe(addr string, limit time.Duration) error {
	c, err := net.DialTimeout("tcp4", addr, limit)
	if err != nil {
		return err
	}
	return c.Close()
}
