package backend

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	pool     *httpconn.Pool
	conn     *httpconn.Conn
	req      *pipeline.Request
	due      time.Time
	left     time.Duration
	canceled atomic.Bool
	unwatch  func() bool
	once     sync.Once
}

// watch cancels the exchange when ctx ends: the server is told where it accepts
// that, and the connection is cut.
func (x *exchange) watch(ctx context.Context, c Canceler, a Announcement) {
	x.unwatch = context.AfterFunc(ctx, func() {
		x.canceled.Store(true)
		if a.AcceptsCancel && c != nil {
			c.Cancel(a.Addr, x.req.ID)
		}
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	})
}

// end gives the connection back once.
func (x *exchange) end(keep bool) {
	x.once.Do(func() {
		stopped := x.unwatch()
		x.pool.Put(x.conn, keep && stopped)
	})
}

func (x *exchange) run() (*pipeline.Response, error) {
	if err := x.conn.SetDeadline(x.due); err != nil {
		return nil, x.fail(err)
	}
	if x.canceled.Load() {
		return nil, x.fail(context.Canceled)
	}
	if err := x.send(); err != nil {
		return x.answerAfterSendError(err)
	}
	return x.receive()
}

func (x *exchange) fail(err error) error {
	return failure(x.conn.WrittenBytes, x.canceled.Load(), err)
}

func (x *exchange) send() error {
	h := headerPool.Get().(*fasthttp.RequestHeader)
	defer func() {
		h.Reset()
		headerPool.Put(h)
	}()
	requestHeader(h, x.req, x.pool.Addr, x.left)
	if err := h.Write(x.conn.W); err != nil {
		return err
	}
	if x.req.Body != nil {
		if err := httpconn.WriteBody(x.conn.W, x.req.Body, x.req.ContentLength); err != nil {
			return err
		}
	}
	return x.conn.W.Flush()
}

var headerPool = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}

// answerAfterSendError looks for an answer that the server gave before it had
// read the whole request, such as a refusal of the body's size.
func (x *exchange) answerAfterSendError(sendErr error) (*pipeline.Response, error) {
	if x.conn.WrittenBytes == 0 || x.canceled.Load() || x.conn.R.Buffered() == 0 && !httpconn.Readable(x.conn.Conn) {
		return nil, x.fail(sendErr)
	}
	resp, err := x.receive()
	if err != nil {
		return nil, x.fail(sendErr)
	}
	return resp, nil
}

func (x *exchange) receive() (*pipeline.Response, error) {
	h := answerHeaderPool.Get().(*fasthttp.ResponseHeader)
	defer func() {
		h.Reset()
		answerHeaderPool.Put(h)
	}()
	if err := readHeader(x, h); err != nil {
		return nil, x.fail(err)
	}
	if reason := h.Peek(HeaderRefused); len(reason) > 0 {
		return nil, refusal(string(reason))
	}
	return x.answer(h)
}

var answerHeaderPool = sync.Pool{New: func() any { return new(fasthttp.ResponseHeader) }}

// readHeader reads the final header and skips informational ones.
func readHeader(x *exchange, h *fasthttp.ResponseHeader) error {
	for {
		if err := h.Read(x.conn.R); err != nil {
			return err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

func (x *exchange) answer(h *fasthttp.ResponseHeader) (*pipeline.Response, error) {
	resp := &pipeline.Response{Status: h.StatusCode(), Truth: errkind.Ran}
	resp.Header = make([]pipeline.HeaderField, 0, h.Len())
	for k, v := range h.All() {
		resp.Header = append(resp.Header, pipeline.HeaderField{Name: string(k), Value: string(v)})
	}
	keep := !h.ConnectionClose()
	if bodyless(x.req.Method, resp.Status) {
		resp.ContentLength = int64(max(h.ContentLength(), 0))
		resp.Body = emptyBody()
		x.end(keep)
		return resp, nil
	}
	body, n, err := httpconn.NewBodyReader(x.conn.R, h)
	if err != nil {
		return nil, errkind.New(errkind.AnswerCut, "%w", err)
	}
	resp.ContentLength = n
	if n >= 0 && n <= bufferedAnswerBytes {
		return x.buffered(resp, body, keep)
	}
	resp.Body = &answerBody{x: x, r: body, keep: keep}
	return resp, nil
}

func bodyless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func (x *exchange) buffered(resp *pipeline.Response, body io.Reader, keep bool) (*pipeline.Response, error) {
	data := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, errkind.New(errkind.AnswerCut, "%w", err)
	}
	x.end(keep)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// answerBody streams an answer and gives the connection back at its end.
type answerBody struct {
	x    *exchange
	r    io.Reader
	keep bool
}

// Read returns io.EOF only for a whole body; any other end is an AnswerCut.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.x.end(b.keep)
	case err != nil:
		b.x.end(false)
		err = errkind.New(errkind.AnswerCut, "%w", err)
	}
	return n, err
}

// Close cuts the exchange unless the body was read to its end.
func (b *answerBody) Close() error {
	b.x.end(false)
	return nil
}
