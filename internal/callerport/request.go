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

// Header fields between callers and the daemon.
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

// maxDeadline bounds what Burdock-Deadline-Ms may say.
const maxDeadline = 24 * time.Hour

// call is one request in flight.
type call struct {
	port   *Port
	fctx   *fasthttp.RequestCtx
	conn   *conn
	ctx    context.Context
	cancel context.CancelFunc
	req    *pipeline.Request
	body   *requestBody // nil without a body
	watch  *connwatch.Call
}

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

// end releases what the call holds, after its answer was written. A body that
// was not read to its end closes the connection.
func (c *call) end() {
	c.port.watch.Remove(c.watch)
	c.cancel()
	if c.body == nil || c.body.finish() {
		return
	}
	lingerClose(c.fctx)
}

// closeUnlessRead makes the connection close after the answer unless the body
// was read to its end, so that its rest is never taken for the next request.
func (c *call) closeUnlessRead() {
	if c.body != nil && !c.body.readWhole() {
		lingerClose(c.fctx)
	}
}

// blame names a failure after what went wrong with the request's body, if
// anything did; the truth stays that of the pipeline.
func (c *call) blame(err error) *errkind.Error {
	e := errkind.As(err)
	if c.body == nil {
		return e
	}
	cause := c.body.failure()
	if cause == nil {
		return e
	}
	named := *cause
	named.Truth = e.Answer().Truth
	return &named
}

func (p *Port) newRequest(fctx *fasthttp.RequestCtx) (*pipeline.Request, error) {
	h := &fctx.Request.Header
	uri, e := targetOf(h)
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

func (p *Port) requestID(h *fasthttp.RequestHeader) string {
	if id := string(h.Peek(headerRequestID)); wellFormedID(id) {
		return id
	}
	return p.ids.next()
}

// parseDeadline returns the time that a caller allows; zero when it says none.
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

// copyRequestHeader copies the end-to-end fields; those with a field of their
// own in the request are moved there.
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
