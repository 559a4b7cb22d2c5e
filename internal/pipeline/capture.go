package pipeline

import (
	"bytes"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// captureAnswer records the answer of a first run. It reads an answer of up to
// MaxAnswer bytes whole and records it before the first byte is passed on, so that
// a repeat gets the answer even if the connection to the caller breaks. For a
// larger answer, or one of unknown length, it records only the execution status.
func (d *IdempotencyStore) captureAnswer(r *Request, resp *Response) (*Response, error) {
	length := resp.ContentLength
	if Bodyless(r.Method, resp.Status) {
		length = 0
	}
	if length < 0 || length > d.cfg.MaxAnswer {
		truth := resp.Truth
		resp.Body = onClose(resp.Body, func() { d.endRun(r, truth, nil) })
		return resp, nil
	}
	body := make([]byte, length)
	_, err := io.ReadFull(resp.Body, body)
	if err == nil {
		err = expectEOF(resp.Body)
	}
	_ = resp.Body.Close()
	if err != nil {
		d.endRun(r, resp.Truth, nil)
		e := errkind.New(errkind.AnswerCut, "%w", err)
		e.Truth = resp.Truth
		return nil, e
	}
	d.endRun(r, resp.Truth, recordedAnswer(resp, body))
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// expectEOF reads the end of a body, and returns io.ErrShortBuffer if more bytes
// follow.
func expectEOF(r io.Reader) error {
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

// recordedAnswer returns the record of an answer with the given body.
func recordedAnswer(resp *Response, body []byte) *idempotency.Answer {
	a := &idempotency.Answer{Status: resp.Status, Body: body, ServedBy: resp.ServedBy}
	for _, f := range resp.Header {
		a.Header = append(a.Header, idempotency.Field(f))
	}
	return a
}

// responseFromRecord returns the response that repeats a recorded answer.
func responseFromRecord(a *idempotency.Answer) *Response {
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
