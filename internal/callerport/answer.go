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

// smallAnswer is the length up to which an answer is read whole before its
// first byte is written, so that a cut becomes an error answer.
const smallAnswer = 16 << 10 // bytes

// copyBuffers holds buffers of smallAnswer bytes.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, smallAnswer)
	return &b
}}

// answer writes the pipeline's answer. A large one is streamed after serve has
// returned; a failure on the way closes the connection before the end mark.
func (p *Port) answer(c *call, resp *pipeline.Response) {
	if pipeline.Bodyless(c.req.Method, resp.Status) {
		p.answerHead(c, resp)
		return
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= smallAnswer {
		p.answerSmall(c, resp)
		return
	}
	p.writeHeader(c, resp)
	c.closeUnlessRead()
	c.fctx.Response.ImmediateHeaderFlush = true
	c.fctx.Response.SetBodyStream(&answerStream{call: c, resp: resp}, int(resp.ContentLength))
}

func (p *Port) answerHead(c *call, resp *pipeline.Response) {
	_ = resp.Body.Close()
	p.writeHeader(c, resp)
	c.fctx.Response.SkipBody = true
	if resp.ContentLength > 0 {
		c.fctx.Response.Header.SetContentLength(int(resp.ContentLength))
	}
	c.end()
}

func (p *Port) answerSmall(c *call, resp *pipeline.Response) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	body := (*buf)[:resp.ContentLength]
	err := readWhole(resp.Body, body)
	_ = resp.Body.Close()
	if err != nil {
		p.answerError(c.fctx, c.req.ID, cutError(resp, err))
		c.end()
		return
	}
	p.writeHeader(c, resp)
	c.fctx.Response.SetBody(body)
	c.end()
}

var errTooLong = errors.New("more bytes than declared")

// readWhole reads exactly len(b) bytes and the end mark.
func readWhole(r io.Reader, b []byte) error {
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	var extra [1]byte
	n, err := io.ReadFull(r, extra[:])
	switch {
	case n > 0:
		return errTooLong
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

func cutError(resp *pipeline.Response, err error) *errkind.Error {
	e := errkind.New(errkind.AnswerCut, "%w", err)
	e.Truth = resp.Truth
	return e
}

func (p *Port) writeHeader(c *call, resp *pipeline.Response) {
	out := &c.fctx.Response
	out.SetStatusCode(resp.Status)
	named := answerTokens(resp.Header)
	for i := range resp.Header {
		f := &resp.Header[i]
		if !hop.IsHopByHop(f.Name, named...) && !ownField(f.Name) {
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

func answerTokens(fields []pipeline.HeaderField) []string {
	var values [][]byte
	for i := range fields {
		if strings.EqualFold(fields[i].Name, fasthttp.HeaderConnection) {
			values = append(values, []byte(fields[i].Value))
		}
	}
	return hop.ConnectionTokens(values)
}

// ownFields are the fields of an answer that only the daemon may set.
var ownFields = []string{headerRequestID, headerTruth, headerServedBy, headerOwner, headerSlice}

func ownField(name string) bool { return hop.ContainsFold(ownFields, name) }

// answerError writes an error of the closed list as problem details.
func (p *Port) answerError(fctx *fasthttp.RequestCtx, id string, err error) {
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
	p.logRefused(fctx, id, e)
}

// answerStream is an answer's body while the HTTP library writes it. It ends
// the call when the library closes it.
type answerStream struct {
	call *call
	resp *pipeline.Response
	sent int64
	err  error
}

// Read reads the next bytes, never more than declared. The first error stays.
func (s *answerStream) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.resp.Body.Read(b)
	s.err = err
	if s.resp.ContentLength >= 0 && s.sent+int64(n) > s.resp.ContentLength {
		s.err = cutError(s.resp, errTooLong)
		return 0, s.err
	}
	s.sent += int64(n)
	return n, err
}

// Close ends the call.
func (s *answerStream) Close() error {
	if s.err != nil && s.err != io.EOF {
		s.call.port.log.Warn("answer_cut",
			zap.String("request_id", s.call.req.ID),
			zap.Error(s.err))
	}
	err := s.resp.Body.Close()
	s.call.end()
	return err
}
