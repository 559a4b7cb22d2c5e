package origin

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// receive reads answers until it finds the one that belongs to the request: a server
// may still send a second answer to the previous request on the connection. The
// second result reports whether the connection can carry another request.
func (x *exchange) receive() (*hop.Answer, bool) {
	h := answerHeaders.Get().(*fasthttp.ResponseHeader)
	defer func() {
		h.Reset()
		answerHeaders.Put(h)
	}()
	for range maxStaleAnswers {
		h.Reset()
		h.DisableNormalizing()
		if err := httpconn.ReadHead(x.conn.R, h); err != nil {
			return x.fail(err), false
		}
		body, room, keep, err := x.readBody(h)
		if err != nil {
			return x.withStatement(x.incompleteAnswer(h, err), h), false
		}
		if x.namesOtherRequest(h) {
			room.Release()
			if !keep {
				break
			}
			continue
		}
		a := x.withStatement(x.checkAnswer(h, body), h)
		if a.Memory = room; a.Failure != nil {
			a.Memory.Release()
		}
		return a, keep && x.conn.R.Buffered() == 0
	}
	return hop.FailedAnswer(errkind.New(errkind.OutcomeUnknown, "only answers to other requests came")), false
}

// namesOtherRequest reports whether an answer carries the id of another request.
func (x *exchange) namesOtherRequest(h *fasthttp.ResponseHeader) bool {
	id := headerValue(h, x.names.RequestID)
	return id != "" && id != x.req.ID
}

// headerValue returns the first value of a header field, matched without regard to
// case, or "" if the header has no such field.
func headerValue(h *fasthttp.ResponseHeader, name string) string {
	for k, v := range h.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// incompleteAnswer returns the result for an answer whose body did not arrive
// completely. A refusal is valid without its body, because its header states it.
func (x *exchange) incompleteAnswer(h *fasthttp.ResponseHeader, err error) *hop.Answer {
	if headerValue(h, x.names.NotRun) != "" && x.namesRequest(h) {
		return x.refusal(h)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || x.canceled.Load() {
		return x.fail(err)
	}
	return hop.FailedAnswer(errkind.New(errkind.AnswerCut, "%w", err))
}

// readBody reads the body of an answer. keep is false if the connection ends with
// the body.
func (x *exchange) readBody(h *fasthttp.ResponseHeader) (body []byte, room held.Answer, keep bool, err error) {
	x.conn.IdleLimit = idleLimit(headerValue(h, fasthttp.HeaderKeepAlive))
	keep = !h.ConnectionClose()
	status := h.StatusCode()
	if x.req.Method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil, room, keep, nil
	}
	r, n, err := httpconn.NewBodyReader(x.conn.R, h)
	if errors.Is(err, httpconn.ErrNoLength) {
		r, n, keep, err = x.conn.R, -1, false, nil
	}
	if err != nil {
		return nil, room, false, err
	}
	body, room, err = readWhole(x.ctx, r, n, x.memory)
	return body, room, keep && err == nil, err
}

// idleLimit returns how long the client may keep a connection idle, given the
// server's Keep-Alive field.
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
	return defaultIdleLimit
}

// checkAnswer validates an answer that arrived completely and converts it. A success
// needs a signature and a request id; without them it may be incomplete or belong to
// another request. So does a refusal need the id.
func (x *exchange) checkAnswer(h *fasthttp.ResponseHeader, body []byte) *hop.Answer {
	status := h.StatusCode()
	if headerValue(h, x.names.NotRun) != "" || status == fasthttp.StatusMisdirectedRequest {
		if !x.namesRequest(h) { // it may be a copy of an earlier one
			return hop.FailedAnswer(errkind.New(errkind.OutcomeUnknown, "a refusal that names no request: status %d", status))
		}
		return x.refusal(h)
	}
	success := status < fasthttp.StatusMultipleChoices
	switch {
	case success && headerValue(h, x.names.Signature) == "":
		return hop.FailedAnswer(errkind.New(errkind.AnswerCut, "a success without signature"))
	case success && headerValue(h, x.names.RequestID) == "":
		return hop.FailedAnswer(errkind.New(errkind.AnswerCut, "a success that names no request"))
	case headerValue(h, fasthttp.HeaderContentEncoding) != "":
		return hop.FailedAnswer(errkind.New(errkind.AnswerCut, "the body is encoded, which nobody asked for"))
	}
	return &hop.Answer{Status: status, Header: x.endToEndFields(h), Body: body}
}

// endToEndFields returns the header fields of an answer that are passed on to the
// caller.
func (x *exchange) endToEndFields(h *fasthttp.ResponseHeader) []hop.Field {
	var fields []hop.Field
	for k, v := range h.All() {
		name := string(k)
		if hop.IsHopByHop(name) || strings.EqualFold(name, x.names.RequestID) || strings.EqualFold(name, x.names.Load) {
			continue
		}
		fields = append(fields, hop.Field{Name: name, Value: string(v)})
	}
	return fields
}
