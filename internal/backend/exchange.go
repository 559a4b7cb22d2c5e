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
	pool        *httpconn.Pool
	conn        *httpconn.Conn
	req         *pipeline.Request
	deadline    time.Time
	remaining   time.Duration // until the deadline, sent to the server
	canceled    atomic.Bool
	stopWatch   func() bool // false if the context has ended
	releaseOnce sync.Once
}

// watch cancels the exchange when ctx ends: it notifies the server if the server
// accepts cancellations, and makes all I/O on the connection fail.
func (x *exchange) watch(ctx context.Context, c Canceler, a Announcement) {
	x.stopWatch = context.AfterFunc(ctx, func() {
		x.canceled.Store(true)
		if a.AcceptsCancel && c != nil {
			c.Cancel(a.Addr, x.req.ID)
		}
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	})
}

// release returns the connection to the pool. Only the first call has an effect.
// The pool reuses the connection if reusable is set and the context has not ended.
func (x *exchange) release(reusable bool) {
	x.releaseOnce.Do(func() {
		stopped := x.stopWatch()
		x.pool.Put(x.conn, reusable && stopped)
	})
}

// run sends the request and receives the answer. The caller releases the connection
// if run fails; otherwise run or the answer's body does.
func (x *exchange) run() (*pipeline.Response, error) {
	if err := x.conn.SetDeadline(x.deadline); err != nil {
		return nil, x.wrapError(err)
	}
	if x.canceled.Load() {
		return nil, x.wrapError(context.Canceled)
	}
	if err := x.send(); err != nil {
		return x.answerAfterSendError(err)
	}
	return x.receive()
}

// wrapError returns the error of the exchange for an I/O error.
func (x *exchange) wrapError(err error) error {
	return exchangeError(x.conn.WrittenBytes, x.canceled.Load(), err)
}

func (x *exchange) send() error {
	h := headerPool.Get().(*fasthttp.RequestHeader)
	defer func() {
		h.Reset()
		headerPool.Put(h)
	}()
	fillRequestHeader(h, x.req, x.pool.Addr, x.remaining)
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

// answerAfterSendError returns the answer that the server sent before it had read
// the whole request, such as a refusal of the body's size. If there is no such
// answer, it returns the error of sendErr.
func (x *exchange) answerAfterSendError(sendErr error) (*pipeline.Response, error) {
	if x.conn.WrittenBytes == 0 || x.canceled.Load() || x.conn.R.Buffered() == 0 && !httpconn.Readable(x.conn.Conn) {
		return nil, x.wrapError(sendErr)
	}
	resp, err := x.receive()
	if err != nil {
		return nil, x.wrapError(sendErr)
	}
	return resp, nil
}

// receive reads the answer or the refusal of the server. After a cancellation only a
// refusal counts.
func (x *exchange) receive() (*pipeline.Response, error) {
	h := answerHeaderPool.Get().(*fasthttp.ResponseHeader)
	defer func() {
		h.Reset()
		answerHeaderPool.Put(h)
	}()
	if err := httpconn.ReadHead(x.conn.R, h); err != nil {
		return nil, x.wrapError(err)
	}
	if reason := h.Peek(HeaderRefused); len(reason) > 0 {
		return nil, refusalError(string(reason))
	}
	if x.canceled.Load() { // it may answer the cancellation
		return nil, x.wrapError(context.Canceled)
	}
	return x.answer(h)
}

var answerHeaderPool = sync.Pool{New: func() any { return new(fasthttp.ResponseHeader) }}

// answer returns the response for the header h. It releases the connection at once if
// the answer has no body or a buffered one.
func (x *exchange) answer(h *fasthttp.ResponseHeader) (*pipeline.Response, error) {
	resp := &pipeline.Response{Status: h.StatusCode(), Truth: errkind.Ran}
	resp.Header = make([]pipeline.HeaderField, 0, h.Len())
	for k, v := range h.All() {
		resp.Header = append(resp.Header, pipeline.HeaderField{Name: string(k), Value: string(v)})
	}
	reusable := !h.ConnectionClose()
	if bodyless(x.req.Method, resp.Status) {
		resp.ContentLength = int64(max(h.ContentLength(), 0))
		resp.Body = emptyBody()
		x.release(reusable)
		return resp, nil
	}
	body, n, err := httpconn.NewBodyReader(x.conn.R, h)
	if err != nil {
		return nil, errkind.New(errkind.AnswerCut, "%w", err)
	}
	resp.ContentLength = n
	if n >= 0 && n <= maxBufferedAnswerBytes {
		return x.bufferAnswer(resp, body, reusable)
	}
	resp.Body = &answerBody{x: x, r: body, reusable: reusable}
	return resp, nil
}

// bodyless reports whether an answer with the given status to a request with the
// given method has no body.
func bodyless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// bufferAnswer reads the whole body, of the declared length, and releases the
// connection.
func (x *exchange) bufferAnswer(resp *pipeline.Response, body io.Reader, reusable bool) (*pipeline.Response, error) {
	data := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, errkind.New(errkind.AnswerCut, "%w", err)
	}
	x.release(reusable)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// answerBody streams an answer and releases the connection at the end of the body.
type answerBody struct {
	x        *exchange
	r        io.Reader
	reusable bool
}

// Read returns io.EOF only at the end of a whole body, and an AnswerCut error if the
// body ends in any other way.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case err == io.EOF:
		b.x.release(b.reusable)
	case err != nil:
		b.x.release(false)
		err = errkind.New(errkind.AnswerCut, "%w", err)
	}
	return n, err
}

// Close releases the connection. The connection is not reused unless the body was
// read to its end.
func (b *answerBody) Close() error {
	b.x.release(false)
	return nil
}
