package callerport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// maxSmallAnswer is the maximum length of an answer that is read completely before its
// first byte is written. If such an answer is cut, the caller receives an error answer.
const maxSmallAnswer = 16 << 10 // bytes

// answerBuffers pools buffers of maxSmallAnswer bytes.
var answerBuffers = sync.Pool{New: func() any {
	b := make([]byte, maxSmallAnswer)
	return &b
}}

// writeAnswer writes the pipeline's answer. A large answer, or one of unknown length, is
// streamed after serve has returned. If the stream fails, the connection is closed before
// the end of the answer, so that the caller detects the cut.
func (p *Port) writeAnswer(c *call, resp *pipeline.Response) {
	if pipeline.Bodyless(c.req.Method, resp.Status) {
		p.writeHeadAnswer(c, resp)
		return
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxSmallAnswer {
		p.writeSmallAnswer(c, resp)
		return
	}
	p.writeHeader(c, resp)
	c.closeConnUnlessBodyRead()
	c.fctx.Response.ImmediateHeaderFlush = true
	c.fctx.Response.SetBodyStream(&answerStream{call: c, resp: resp}, int(resp.ContentLength))
}

// writeHeadAnswer writes an answer that has no body, for example to a HEAD request.
func (p *Port) writeHeadAnswer(c *call, resp *pipeline.Response) {
	_ = resp.Body.Close()
	p.writeHeader(c, resp)
	c.fctx.Response.SkipBody = true
	if resp.ContentLength > 0 {
		c.fctx.Response.Header.SetContentLength(int(resp.ContentLength))
	}
	c.release()
}

// writeSmallAnswer reads the whole body and writes the answer, or an AnswerCut error if
// the body does not have its declared length.
func (p *Port) writeSmallAnswer(c *call, resp *pipeline.Response) {
	buf := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(buf)
	body := (*buf)[:resp.ContentLength]
	err := readExactly(resp.Body, body)
	_ = resp.Body.Close()
	if err != nil {
		p.writeError(c.fctx, c.req.ID, newAnswerCutError(resp, err))
		c.release()
		return
	}
	p.writeHeader(c, resp)
	c.fctx.Response.SetBody(body)
	c.release()
}

var errAnswerTooLong = errors.New("more bytes than declared")

// readExactly fills b from r and returns an error unless r ends after len(b) bytes.
func readExactly(r io.Reader, b []byte) error {
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	var extra [1]byte
	n, err := io.ReadFull(r, extra[:])
	switch {
	case n > 0:
		return errAnswerTooLong
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

// newAnswerCutError returns an AnswerCut error with the Truth of the answer.
func newAnswerCutError(resp *pipeline.Response, err error) *errkind.Error {
	e := errkind.New(errkind.AnswerCut, "%w", err)
	e.Truth = resp.Truth
	return e
}

// writeHeader writes the status and the end-to-end fields of the answer and adds the
// daemon's own fields.
func (p *Port) writeHeader(c *call, resp *pipeline.Response) {
	out := &c.fctx.Response
	out.SetStatusCode(resp.Status)
	named := connectionTokens(resp.Header)
	for i := range resp.Header {
		f := &resp.Header[i]
		if !hop.IsHopByHop(f.Name, named...) && !isDaemonField(f.Name) {
			out.Header.Add(f.Name, f.Value)
		}
	}
	out.Header.Set(headerRequestID, c.req.ID)
	out.Header.Set(headerTruth, string(resp.Truth))
	if !resp.ServedBy.IsZero() {
		out.Header.Set(headerServedBy, resp.ServedBy.String())
	}
	if resp.OwnerAddr != "" {
		out.Header.Set(headerOwner, resp.OwnerAddr)
	}
	if s := c.req.Service; s.Mode == config.Keyed {
		out.Header.Set(headerSlice, fmt.Sprintf("%s/%d/%d", s.Name, c.req.Slice.Index, s.Slices))
	}
}

// connectionTokens returns the field names that the Connection fields of an answer list.
func connectionTokens(fields []pipeline.HeaderField) []string {
	var values [][]byte
	for i := range fields {
		if strings.EqualFold(fields[i].Name, fasthttp.HeaderConnection) {
			values = append(values, []byte(fields[i].Value))
		}
	}
	return hop.ConnectionTokens(values)
}

// daemonFields are the header fields of an answer that only the daemon may set.
var daemonFields = []string{headerRequestID, headerTruth, headerServedBy, headerOwner, headerSlice}

func isDaemonField(name string) bool { return hop.ContainsFold(daemonFields, name) }

// writeError replaces the answer by the problem details of err. It preserves a decision
// to close the connection.
func (p *Port) writeError(fctx *fasthttp.RequestCtx, id string, err error) {
	e := errkind.As(err)
	a := e.Answer()
	out := &fctx.Response
	closing := out.ConnectionClose()
	out.Reset()
	if closing {
		out.SetConnectionClose()
	}
	out.SetStatusCode(a.Status)
	out.Header.Set(headerRequestID, id)
	out.Header.Set(headerTruth, string(a.Truth))
	out.Header.SetContentType(errkind.ProblemMediaType)
	if s := a.RetryAfterSeconds(); s > 0 {
		out.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(s))
	}
	body, jerr := json.Marshal(e.Problem(id))
	if jerr != nil {
		p.log.Error("problem_encode", zap.String("request_id", id), zap.Error(jerr))
	}
	out.SetBody(body)
	p.logRefusal(fctx, id, e)
}

// answerStream is the body of an answer that the HTTP library streams to the caller. It
// releases the call when the library closes it.
type answerStream struct {
	call *call
	resp *pipeline.Response
	sent int64 // bytes read for the caller so far
	err  error
}

// Read implements io.Reader. It returns an error if the body is longer than declared.
// After the first error, every Read returns that error.
func (s *answerStream) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.resp.Body.Read(b)
	s.err = err
	if s.resp.ContentLength >= 0 && s.sent+int64(n) > s.resp.ContentLength {
		s.err = newAnswerCutError(s.resp, errAnswerTooLong)
		return 0, s.err
	}
	s.sent += int64(n)
	return n, err
}

// Close logs an error if the answer was cut, closes the body of the answer and releases
// the call.
func (s *answerStream) Close() error {
	if s.err != nil && s.err != io.EOF {
		s.call.port.log.Warn("answer_cut",
			zap.String("request_id", s.call.req.ID),
			zap.Error(s.err))
	}
	err := s.resp.Body.Close()
	s.call.release()
	return err
}
