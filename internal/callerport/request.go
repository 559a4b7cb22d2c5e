package callerport

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/connwatch"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// Names of the header fields that callers and the daemon exchange.
const (
	headerDeadline       = "Burdock-Deadline-Ms"
	headerRequestID      = "Burdock-Request-Id"
	headerRepeat         = "Burdock-Repeat"
	headerIdempotencyKey = "Idempotency-Key"
	headerTraceparent    = "Traceparent"
	headerTracestate     = "Tracestate"
	headerTruth          = "Burdock-Truth"
	headerServedBy       = "Burdock-Served-By"
	headerOwner          = "Burdock-Owner"
	headerSlice          = "Burdock-Slice"
)

// maxDeadline limits the value of Burdock-Deadline-Ms. Larger values are reduced to it.
const maxDeadline = 24 * time.Hour

// call holds the state of one request in flight.
type call struct {
	port   *Port
	fctx   *fasthttp.RequestCtx
	conn   *conn
	ctx    context.Context
	cancel context.CancelFunc
	req    *pipeline.Request
	body   *requestBody // nil if the request has no body
	watch  *connwatch.Call
}

// newCall converts the HTTP request and starts to watch the connection of the caller, so
// that the request is canceled when the caller disconnects.
func (p *Port) newCall(fctx *fasthttp.RequestCtx) (*call, error) {
	r, err := p.newRequest(fctx)
	if err != nil {
		return nil, err
	}
	if hasToken(fctx.Request.Header.PeekAll(fasthttp.HeaderConnection), "close") {
		fctx.SetConnectionClose()
	}
	c := &call{port: p, fctx: fctx, req: r}
	c.conn, _ = fctx.Conn().(*conn)
	if r.ContentLength != 0 {
		c.body = newRequestBody(fctx.RequestBodyStream(), r.ContentLength, r.Service.MaxBody, c.conn)
		r.Body = c.body
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.conn != nil {
		c.watch = p.watch.Add(c.conn.Conn, c.cancel)
	}
	return c, nil
}

// release frees the resources of the call after its answer has been written. If the body
// was not read to its end, the connection closes.
func (c *call) release() {
	c.port.watch.Remove(c.watch)
	c.cancel()
	if c.body == nil || c.body.finish() {
		return
	}
	closeAfterAnswer(c.fctx)
}

// closeConnUnlessBodyRead makes the connection close after the answer unless the
// body was read to its end, so that the rest of the body is never read as the next request.
func (c *call) closeConnUnlessBodyRead() {
	if c.body != nil && !c.body.wasReadToEnd() {
		closeAfterAnswer(c.fctx)
	}
}

// preferBodyError returns the error of the request's body, if there is one, instead of the
// pipeline's error err. The Truth remains that of err.
func (c *call) preferBodyError(err error) *errkind.Error {
	e := errkind.As(err)
	if c.body == nil {
		return e
	}
	cause := c.body.firstError()
	if cause == nil {
		return e
	}
	bodyErr := *cause
	bodyErr.Truth = e.Answer().Truth
	return &bodyErr
}

// newRequest converts the header of an HTTP request to a pipeline.Request without a body.
func (p *Port) newRequest(fctx *fasthttp.RequestCtx) (*pipeline.Request, error) {
	h := &fctx.Request.Header
	uri, e := requestTarget(h)
	if e != nil {
		return nil, e
	}
	now := p.clock.Now()
	r := &pipeline.Request{
		ID:               p.requestID(h),
		Origin:           pipeline.FromCaller,
		Method:           string(h.Method()),
		URI:              uri,
		ContentLength:    int64(max(h.ContentLength(), chunked)),
		Arrived:          now,
		CallerRegion:     p.cfg.Region,
		CallerRemoteAddr: fctx.RemoteAddr().String(),
	}
	if h.ContentLength() < chunked { // no framing field: no body
		r.ContentLength = 0
	}
	left, e := parseDeadline(h.Peek(headerDeadline))
	if e != nil {
		return nil, e
	}
	if left > 0 {
		r.Deadline = now.Add(left)
	}
	copyRequestHeader(r, h)
	name, _ := pipeline.ServiceName(r.HeaderValue(pipeline.HeaderService), uri)
	r.Service, _ = p.catalog.Service(name)
	return r, nil
}

// requestID returns the caller's correlation id if it is valid, else a new one.
func (p *Port) requestID(h *fasthttp.RequestHeader) string {
	if id := string(h.Peek(headerRequestID)); isValidID(id) {
		return id
	}
	return p.ids.next()
}

// parseDeadline returns the time that the caller allows for the request, or zero if the
// caller states none.
func parseDeadline(v []byte) (time.Duration, *errkind.Error) {
	if len(v) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseUint(string(v), 10, 63)
	if err != nil || ms == 0 {
		return 0, errkind.New(errkind.Malformed, "%s %q is not a positive number of milliseconds", headerDeadline, v)
	}
	return time.Duration(min(ms, uint64(maxDeadline.Milliseconds()))) * time.Millisecond, nil
}

// copyRequestHeader copies the end-to-end header fields from h to r. Fields that
// pipeline.Request has a struct field for are stored there; of these, only
// Idempotency-Key stays in r.Header too. The deadline, the request id and Expect are not
// copied.
func copyRequestHeader(r *pipeline.Request, h *fasthttp.RequestHeader) {
	named := hop.ConnectionTokens(h.PeekAll(fasthttp.HeaderConnection))
	r.Header = make([]pipeline.HeaderField, 0, h.Len())
	for k, v := range h.All() {
		switch string(k) {
		case headerIdempotencyKey:
			r.IdempotencyKey = string(v)
		case headerTraceparent:
			r.Traceparent = string(v)
			continue
		case headerTracestate:
			r.Tracestate = string(v)
			continue
		case headerRepeat:
			r.ClaimsRepeat = string(v) == "true"
			continue
		case headerDeadline, headerRequestID, fasthttp.HeaderExpect:
			continue
		}
		name := string(k)
		if hop.IsHopByHop(name, named...) {
			continue
		}
		r.Header = append(r.Header, pipeline.HeaderField{Name: name, Value: string(v)})
	}
}
