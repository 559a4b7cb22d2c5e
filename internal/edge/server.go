package edge

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/connwatch"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// Limits of the port.
const (
	maxHeaderBytes = 16 << 10         // the greatest header that the operators' limits allow
	maxBodyBytes   = 64 << 20         // the greatest body that they allow
	readTimeout    = 30 * time.Second // for a header and its body
	idleTimeout    = 75 * time.Second // above the idle time that callers count on
	goneInterval   = 100 * time.Millisecond

	// defaultWait holds for callers that do not say how long they wait.
	defaultWait = 30 * time.Second
)

// RouteSource returns the routes in force, nil before the first configuration.
type RouteSource interface {
	Routes() *routes.Table
}

// Server is the HTTP server for callers.
type Server struct {
	names    hop.Names
	routes   RouteSource
	dispatch *Dispatcher
	caller   func() string // service on this host
	clock    ident.Clock
	log      *zap.Logger
	http     *fasthttp.Server
	watch    *connwatch.Watcher
	retiring atomic.Bool  // every answer is the last on its connection
	closed   atomic.Bool  // nothing new is taken
	open     atomic.Int64 // requests in progress
}

// NewServer returns a server that hands requests to a dispatcher. The function
// names the service on this host, where the requests begin.
func NewServer(names hop.Names, r RouteSource, d *Dispatcher, caller func() string, clock ident.Clock, log *zap.Logger) *Server {
	s := &Server{
		names: names, routes: r, dispatch: d, caller: caller, clock: clock, log: log,
		watch: connwatch.New(goneInterval),
	}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ReadBufferSize:                maxHeaderBytes,
		MaxRequestBodySize:            maxBodyBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: true,
		CloseOnShutdown:               true,
		SecureErrorLogMessage:         true,
		Logger:                        httpLog{log},
	}
	return s
}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// WatchCallers is the duty that notices callers who leave.
func (s *Server) WatchCallers(ctx context.Context) error { return s.watch.Run(ctx) }

// CloseConnectionsAfterAnswers makes every answer from now on the last on its connection.
func (s *Server) CloseConnectionsAfterAnswers() { s.retiring.Store(true) }

// RefuseNewRequests makes the server take no new request from now on.
func (s *Server) RefuseNewRequests() { s.closed.Store(true) }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// Shutdown stops accepting, closes idle connections and waits for requests in
// progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handle serves one request whose header and body were read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.retiring.Load() {
		ctx.SetConnectionClose()
	}
	arrived := s.clock.Now()
	r, route, e := s.request(ctx, arrived)
	if e != nil {
		s.refuse(ctx, r, e)
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), r.Left(arrived))
	defer cancel()
	call := s.watch.Add(ctx.Conn(), cancel)
	a := s.dispatch.Serve(callCtx, r, route)
	s.watch.Remove(call)
	if a.Failure != nil {
		s.refuse(ctx, r, a.Failure)
		return
	}
	s.answer(ctx, r, a)
}

// request makes the product's request of an HTTP request and finds its route.
func (s *Server) request(ctx *fasthttp.RequestCtx, now ident.Instant) (*hop.Request, *routes.Route, *errkind.Error) {
	h := &ctx.Request.Header
	r := &hop.Request{Key: hop.NoKey, ID: field(h, s.names.RequestID)}
	if err := checkHeader(h); err != nil {
		ctx.SetConnectionClose()
		return r, nil, errkind.New(errkind.Malformed, "%w", err)
	}
	if s.closed.Load() {
		return r, nil, errkind.New(errkind.Draining, "the daemon stops")
	}
	table := s.routes.Routes()
	if table == nil {
		return r, nil, errkind.New(errkind.Unconfigured, "no configuration was read yet")
	}
	r.Method, r.Host, r.URI = string(h.Method()), string(h.Host()), string(h.RequestURI())
	route, ok := table.Match(r.Host, r.URI)
	if !ok {
		return r, nil, errkind.New(errkind.NoRoute, "host %q path %q version %d", r.Host, r.URI, table.Version)
	}
	if n := len(ctx.Request.Body()); table.Limits.BodyBytes > 0 && n > table.Limits.BodyBytes {
		return r, nil, errkind.New(errkind.BodyTooLarge, "%d bytes, the limit is %d", n, table.Limits.BodyBytes)
	}
	r.Body = append([]byte(nil), ctx.Request.Body()...)
	r.Route, r.Priority, r.Caller = route.Name, route.Priority, s.caller()
	if e := s.fields(r, h); e != nil {
		return r, nil, e
	}
	wait, e := s.wait(h, route)
	r.Deadline = now.Add(wait)
	if route.TargetLatency > 0 {
		r.Target = now.Add(route.TargetLatency)
	}
	return r, route, e
}

func checkHeader(h *fasthttp.RequestHeader) error {
	if err := httpconn.CheckHeader(h.RawHeaders()); err != nil {
		return err
	}
	if !h.IsHTTP11() && h.ContentLength() < 0 && len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return httpconn.ErrAmbiguousLength
	}
	return nil
}

// wait returns how long the caller, and the route's operator, let it wait.
func (s *Server) wait(h *fasthttp.RequestHeader, route *routes.Route) (time.Duration, *errkind.Error) {
	wait := defaultWait
	if v := field(h, s.names.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms < 0 {
			return 0, errkind.New(errkind.Malformed, "%s %q", s.names.Deadline, v)
		}
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait, nil
}

// fields copies the end-to-end fields. Those that the daemon sets anew, or that
// have a place of their own in the request, are left out.
func (s *Server) fields(r *hop.Request, h *fasthttp.RequestHeader) *errkind.Error {
	named := hop.ConnectionTokens(h.PeekAll(fasthttp.HeaderConnection))
	for k, v := range h.All() {
		name := string(k)
		switch {
		case strings.EqualFold(name, s.names.ShardKey):
			key, err := strconv.ParseUint(strings.TrimSpace(string(v)), 10, 16)
			if err != nil {
				return errkind.New(errkind.Malformed, "%s %q", s.names.ShardKey, v)
			}
			r.Key = int(key)
		case strings.EqualFold(name, "traceparent"):
			r.Trace = string(v)
		case s.own(name), hop.HopByHop(name, named...):
		default:
			r.Header = append(r.Header, hop.Field{Name: name, Value: string(v)})
		}
	}
	return nil
}

// own reports whether the daemon sets a field itself.
func (s *Server) own(name string) bool {
	n := &s.names
	return hop.ContainsFold([]string{fasthttp.HeaderHost, fasthttp.HeaderExpect, n.RequestID, n.Deadline, n.CallerService, n.TargetServer}, name)
}

func field(h *fasthttp.RequestHeader, name string) string {
	for k, v := range h.All() {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// answer writes the backend server's answer.
func (s *Server) answer(ctx *fasthttp.RequestCtx, r *hop.Request, a *hop.Answer) {
	out := &ctx.Response
	out.Header.DisableNormalizing()
	out.SetStatusCode(a.Status)
	for _, f := range a.Header {
		out.Header.Add(f.Name, f.Value)
	}
	if r.ID != "" {
		out.Header.Set(s.names.RequestID, r.ID)
	}
	if r.Method == fasthttp.MethodHead {
		out.SkipBody = true
		return
	}
	out.SetBodyRaw(a.Body)
}

// refuse answers a request that got no answer of a backend server.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *hop.Request, e *errkind.Error) {
	status, truth := statusOf(e)
	after := e.Answer().RetryAfter
	out := &ctx.Response
	out.Header.DisableNormalizing()
	out.SetStatusCode(status)
	if r.ID != "" {
		out.Header.Set(s.names.RequestID, r.ID)
	}
	if truth == errkind.NotRun && after > 0 && promises(status) {
		out.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	s.log.Info("request_failed",
		zap.String("request_id", r.ID), zap.String("route", r.Route), zap.Stringer("kind", e.Kind),
		zap.Int("status", status), zap.String("truth", string(truth)), zap.Duration("retry_after", after),
		zap.String("detail", e.Detail))
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the status of a failure. One that would promise that the
// request has not run is used only if that is so; and a request that has not run
// and may be sent again is told so.
func statusOf(e *errkind.Error) (int, errkind.Truth) {
	a := e.Answer()
	switch {
	case promises(a.Status) && a.Truth != errkind.NotRun:
		return fasthttp.StatusBadGateway, a.Truth
	case a.Truth == errkind.NotRun && a.Status >= fasthttp.StatusInternalServerError:
		return fasthttp.StatusServiceUnavailable, a.Truth
	case a.Status == statusClientClosed:
		return fasthttp.StatusBadGateway, a.Truth
	}
	return a.Status, a.Truth
}

// statusClientClosed is what the table of kinds gives for callers that left.
const statusClientClosed = 499

// httpLog writes what the HTTP library reports.
type httpLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("caller_connection", zap.String("detail", strings.TrimSpace(format)), zap.Any("args", args))
}
