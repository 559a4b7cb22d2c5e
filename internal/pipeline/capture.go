package pipeline

import (
	"bytes"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// capture records the answer of a first run. A small answer is read whole and
// recorded before its first byte travels on, so that a repeat gets it even if
// the way back to the caller breaks. A larger one leaves a record without it.
func (d *IdempotencyStore) capture(r *Request, resp *Response) (*Response, error) {
	length := resp.ContentLength
	if Bodyless(r.Method, resp.Status) {
		length = 0
	}
	if length < 0 || length > d.cfg.MaxAnswer {
		truth := resp.Truth
		resp.Body = onClose(resp.Body, func() { d.end(r, truth, nil) })
		return resp, nil
	}
	body := make([]byte, length)
	_, err := io.ReadFull(resp.Body, body)
	if err == nil {
		err = atEnd(resp.Body)
	}
	_ = resp.Body.Close()
	if err != nil {
		d.end(r, resp.Truth, nil)
		e := errkind.New(errkind.AnswerCut, "%w", err)
		e.Truth = resp.Truth
		return nil, e
	}
	d.end(r, resp.Truth, recordedAnswer(resp, body))
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// atEnd reads the end mark of a body.
func atEnd(r io.Reader) error {
	var extra [1]byte
	n, err := io.ReadFull(r, extra[:])
	switch {
	case n > 0:
		return io.ErrShortBuffer
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

func recordedAnswer(resp *Response, body []byte) *idempotency.Answer {
	a := &idempotency.Answer{Status: resp.Status, Body: body, ServedBy: resp.ServedBy}
	for _, f := range resp.Header {
		a.Header = append(a.Header, idempotency.Field(f))
	}
	return a
}

// replayAnswer returns a recorded answer.
func replayAnswer(a *idempotency.Answer) *Response {
	resp := &Response{
		Status:        a.Status,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
		Truth:         errkind.Ran,
		ServedBy:      a.ServedBy,
	}
	for _, f := range a.Header {
		resp.Header = append(resp.Header, HeaderField(f))
	}
	return resp
}
