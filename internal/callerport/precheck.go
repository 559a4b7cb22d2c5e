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

// refusalField carries a refusal decided from the header alone to the handler.
// A caller cannot send it, since ':' is not allowed in a field name.
const refusalField = ":refusal"

// headerReceived runs before any byte of the body is read or asked for by 100
// Continue. A refused request is turned into one without a body, so that the
// handler answers at once; the connection closes after the answer.
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
	// A caller that reads slowly holds a slot no longer than the service allows.
	limits.WriteTimeout = min(p.cfg.AnswerTimeout, s.Deadline)
	return limits
}

// refusalOf returns the refusal that headerReceived noted, or nil.
func refusalOf(h *fasthttp.RequestHeader) *errkind.Error {
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

// precheck returns the service of a request whose header is acceptable.
func (p *Port) precheck(h *fasthttp.RequestHeader) (config.Service, *errkind.Error) {
	if e := checkFraming(h); e != nil {
		return config.Service{}, e
	}
	uri, e := targetOf(h)
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

// checkFraming refuses what two HTTP parsers might read differently.
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
	if !knownMethod(h.Method()) {
		return errkind.New(errkind.Malformed, "method %q", h.Method())
	}
	return nil
}

// chunked is the library's content length of a chunked body.
const chunked = -1

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

// knownMethod leaves out CONNECT and TRACE, which are for proxies.
func knownMethod(m []byte) bool {
	switch string(m) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPost, fasthttp.MethodPut,
		fasthttp.MethodPatch, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	}
	return false
}

// targetOf returns path and query of the request target.
func targetOf(h *fasthttp.RequestHeader) (string, *errkind.Error) {
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

// readError names what kept the HTTP library from reading a request. The
// library wraps errors of the header and returns those of the body bare.
func readError(err error) *errkind.Error {
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
