package callerport

import (
	"errors"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// refusalField is the header field that passes a refusal from headerReceived to the
// handler. A caller cannot send it, since a field name must not contain ':'.
const refusalField = ":refusal"

// headerReceived checks the header of a request. The HTTP library calls it before it
// reads the body or requests the body with 100 Continue. headerReceived turns a refused
// request into one without a body, so that the handler answers at once, and makes the
// connection close after the answer.
func (p *Port) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := fasthttp.RequestConfig{ReadTimeout: p.cfg.BodyTimeout, WriteTimeout: p.cfg.AnswerTimeout}
	s, e := p.precheck(h)
	if e != nil {
		h.Del(fasthttp.HeaderExpect)
		h.SetContentLength(0)
		h.SetMethod(fasthttp.MethodPost)
		h.SetRequestURI("/")
		h.SetConnectionClose()
		h.Set(refusalField, strconv.Itoa(int(e.Kind))+" "+e.Detail)
		return limits
	}
	// A caller that reads slowly must not hold a slot longer than the service's deadline.
	limits.WriteTimeout = min(p.cfg.AnswerTimeout, s.Deadline)
	return limits
}

// storedRefusal returns the refusal that headerReceived stored in the header, or nil.
func storedRefusal(h *fasthttp.RequestHeader) *errkind.Error {
	v := h.Peek(refusalField)
	if len(v) == 0 {
		return nil
	}
	number, detail, _ := strings.Cut(string(v), " ")
	kind, err := strconv.ParseUint(number, 10, 8)
	if err != nil {
		return errkind.New(errkind.Internal, "refusal %q", v)
	}
	return errkind.New(errkind.Kind(kind), "%s", detail)
}

// precheck returns the service of the request, or an error if the header is not
// acceptable.
func (p *Port) precheck(h *fasthttp.RequestHeader) (config.Service, *errkind.Error) {
	if e := checkFraming(h); e != nil {
		return config.Service{}, e
	}
	uri, e := requestTarget(h)
	if e != nil {
		return config.Service{}, e
	}
	name, _ := pipeline.ServiceName(string(h.Peek(pipeline.HeaderService)), uri)
	s, ok := p.catalog.Service(name)
	if !ok {
		return s, errkind.New(errkind.UnknownService, "service %q", name)
	}
	if n := int64(h.ContentLength()); n > s.MaxBody {
		return s, errkind.New(errkind.BodyTooLarge, "%d bytes, the limit is %d", n, s.MaxBody)
	}
	return s, nil
}

// checkFraming refuses requests that two HTTP parsers might interpret differently.
func checkFraming(h *fasthttp.RequestHeader) *errkind.Error {
	if err := httpconn.CheckHeader(h.RawHeaders()); err != nil {
		return errkind.New(errkind.Malformed, "%w", err)
	}
	if !h.IsHTTP11() && h.ContentLength() == chunked {
		return errkind.New(errkind.Malformed, "chunked body in an HTTP/1.0 request")
	}
	if h.IsHTTP11() && len(h.Host()) == 0 {
		return errkind.New(errkind.Malformed, "no Host field")
	}
	if !isSupportedMethod(h.Method()) {
		return errkind.New(errkind.Malformed, "method %q", h.Method())
	}
	return nil
}

// chunked is the content length that the HTTP library reports for a chunked body.
const chunked = -1

// hasToken reports whether one of the comma-separated values contains token, ignoring
// case.
func hasToken(values [][]byte, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(string(v), ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// isSupportedMethod reports whether the port accepts method m. It excludes CONNECT and
// TRACE, which are for proxies.
func isSupportedMethod(m []byte) bool {
	switch string(m) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPost, fasthttp.MethodPut,
		fasthttp.MethodPatch, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	}
	return false
}

// requestTarget returns the path and query of the request target, which may be in origin
// form or in absolute form.
func requestTarget(h *fasthttp.RequestHeader) (string, *errkind.Error) {
	target := string(h.RequestURI())
	if rest, ok := strings.CutPrefix(target, "http://"); ok {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return "/", nil
		}
		return rest[i:], nil
	}
	if !strings.HasPrefix(target, "/") {
		return "", errkind.New(errkind.Malformed, "request target %q", target)
	}
	return target, nil
}

// classifyReadError returns the reason why the HTTP library could not read a request. The
// library wraps errors of the header and returns errors of the body unwrapped.
func classifyReadError(err error) *errkind.Error {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return errkind.New(errkind.HeaderTooLarge, "%w", err)
	}
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return errkind.New(errkind.Malformed, "%w", err)
	}
	kind := errkind.HeaderTimeout
	if _, bare := err.(net.Error); bare { //nolint:errorlint // wrapped means header
		kind = errkind.BodyTimeout
	}
	e := errkind.New(kind, "%w", err)
	e.Truth = errkind.NotRun
	return e
}
