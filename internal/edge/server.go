package edge

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/connlimit"
	"github.com/burdockfold/burdockfold/internal/connwatch"
	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// Limits of the port.
const (
	maxHeaderBytes = 16 << 10               // highest header limit that operators can configure
	maxBodyBytes   = 64 << 20               // highest body limit that operators can configure
	readTimeout    = 30 * time.Second       // for a header and its body
	idleTimeout    = 75 * time.Second       // longer than callers keep idle connections
	watchInterval  = 100 * time.Millisecond // between checks for callers that disconnected

	// defaultWait applies to callers that do not send a deadline.
	defaultWait = 30 * time.Second
)

// PortLimits returns the most that callers may send whatever the configuration allows, and
// how long the port waits for it.
func PortLimits() routes.Limits {
	return routes.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// RouteSource provides the routing table in force.
type RouteSource interface {
	// Routes returns the routing table in force, nil before the first configuration.
	Routes() *routes.Table
}

// Server is the HTTP server for callers.
type Server struct {
	headerNames   hop.HeaderNames
	routes        RouteSource
	dispatcher    *Dispatcher
	callerService func() string // service on this host
	stop          *hop.Stop
	clock         ident.Clock
	log           *zap.Logger
	http          *fasthttp.Server
	connWatcher   *connwatch.Watcher
	closeConns    atomic.Bool  // every answer closes its connection
	refuseNew     atomic.Bool  // new requests are refused as draining
	openRequests  atomic.Int64 // requests in progress
	conns         *connlimit.Table
	bodyBudget    *hop.BodyBudget
	unread        *unreadBodies
	unreadTime    time.Duration // see SetUnreadTime
}

// NewServer returns a server that passes requests to a dispatcher. caller returns
// the service on this host, which is the caller of all its requests.
// stop bounds them, and budget their bodies. If more than maxConns connections are open, those
// that are used least are closed.
func NewServer(names hop.HeaderNames, r RouteSource, d *Dispatcher, caller func() string, maxConns int, budget *hop.BodyBudget, stop *hop.Stop, clock ident.Clock, log *zap.Logger) *Server {
	s := &Server{
		headerNames: names, routes: r, dispatcher: d, callerService: caller, stop: stop, clock: clock, log: log,
		connWatcher: connwatch.New(watchInterval), conns: connlimit.NewTable(maxConns), bodyBudget: budget, unread: newUnreadBodies(budget), unreadTime: DefaultUnreadTime,
	}
	s.conns.LimitUnread(2*heldmem.SocketBuffer, int(budget.UnreadBytes()))
	s.http = &fasthttp.Server{
		Handler:                       s.handleContained,
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
		ConnState:                     s.setState,
		HeaderReceived:                s.unread.headerReceived,
		StreamRequestBody:             true, // the handler reads it, into reserved memory
		ErrorHandler:                  s.handleReadError,
		SecureErrorLogMessage:         true,
		Logger:                        httpLog{log},
	}
	return s
}

// Serve accepts connections of callers until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(callerListener{ln, s.bodyBudget, s.conns, s.unreadTime})
}

// WatchCallers is the duty that cancels requests whose callers have disconnected.
func (s *Server) WatchCallers(ctx context.Context) error { return s.connWatcher.Run(ctx) }

// CutUnread is the duty that closes idle connections whose callers leave too much of their answers
// unread.
func (s *Server) CutUnread(ctx context.Context) error { return s.conns.CutUnread(ctx) }

// ClosedConnections returns how many connections have been closed because too many were open, and
// because their callers had left too much unread.
func (s *Server) ClosedConnections() (surplus, unread int64) { return s.conns.Closed() }

// CloseConnectionsAfterAnswers makes the server close each connection after its next
// answer, so that callers connect elsewhere.
func (s *Server) CloseConnectionsAfterAnswers() { s.closeConns.Store(true) }

// RefuseNewRequests makes the server refuse every new request with the kind Draining.
func (s *Server) RefuseNewRequests() { s.refuseNew.Store(true) }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// ActiveConnections returns the number of connections on which a request is being served or
// an answer written.
func (s *Server) ActiveConnections() int { return s.conns.Active() }

// Shutdown stops accepting, closes idle connections and waits for requests in
// progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// handleContained serves one request. A panic fails this request only; whether it has
// run is then not known.
func (s *Server) handleContained(ctx *fasthttp.RequestCtx) {
	defer dropLongHead(ctx)
	err := duty.Contain(func() { s.handle(ctx) })
	if err == nil {
		return
	}
	r := &hop.Request{ID: headerValue(&ctx.Request.Header, s.headerNames.RequestID)}
	s.log.Error("request_panicked", zap.String("request_id", r.ID), zap.Error(err))
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	s.writeFailure(ctx, r, errkind.New(errkind.Internal, "a panic while the request was served"))
}

// handle serves one request whose header has been read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if err := s.unread.take(&ctx.Request.Header); err != nil {
		s.handleReadError(ctx, err)
		return
	}
	s.conns.Reading(ctx.Conn())
	if rc, ok := ctx.Conn().(*recordingConn); ok {
		if err := rc.reserveRequest(&ctx.Request.Header); err != nil {
			s.handleReadError(ctx, err)
			return
		}
	}
	b := requestBody{budget: s.bodyBudget}
	defer b.release()
	if err := b.read(ctx); err != nil {
		s.handleReadError(ctx, err)
		return
	}
	s.conns.Begin(ctx.Conn())
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	if s.closeConns.Load() {
		ctx.SetConnectionClose()
	}
	arrived := s.clock.Now()
	r, route, e := s.parseRequest(ctx, b.bytes, arrived)
	dropLongHead(ctx) // the request has its own copy
	if e != nil {
		s.writeFailure(ctx, r, e)
		return
	}
	stopCtx, release := s.stop.Context(context.Background())
	defer release()
	callCtx, cancel := context.WithTimeout(stopCtx, r.TimeLeft(arrived))
	defer cancel()
	r.Deadline = s.stop.Deadline(r.Deadline) // not that of callCtx: a refusal at the deadline is still on its way
	watched := s.connWatcher.Add(ctx.Conn(), cancel)
	defer s.connWatcher.Remove(watched)
	a := s.dispatcher.Serve(callCtx, r, route)
	holdAnswer(ctx.Conn(), a)
	if a.Failure != nil {
		s.writeFailure(ctx, r, s.stop.Failure(callCtx, a.Failure))
		return
	}
	s.writeAnswer(ctx, r, a)
}

// handleReadError answers a request that could not be read, and closes the connection.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	r := &hop.Request{ID: headerValue(&ctx.Request.Header, s.headerNames.RequestID)}
	ctx.SetConnectionClose()
	if errors.Is(err, errNoRoom) {
		s.writeFailure(ctx, r, errkind.New(errkind.Overloaded, "%w", err))
		return
	}
	ctx.Response.Header.DisableNormalizing()
	ctx.Response.SetStatusCode(statusOfReadError(err))
	s.log.Debug("request_unreadable", zap.String("request_id", r.ID), zap.Error(err))
}

// parseRequest validates an HTTP request, converts it to a hop.Request and finds its
// route. On an error the returned request carries the id of the request, if it has
// one, for the answer and the log.
func (s *Server) parseRequest(ctx *fasthttp.RequestCtx, body []byte, now ident.Instant) (*hop.Request, *routes.Route, *errkind.Error) {
	h := &ctx.Request.Header
	r := &hop.Request{Key: hop.NoKey, ID: headerValue(h, s.headerNames.RequestID), Body: body}
	if err := checkHeader(h); err != nil {
		ctx.SetConnectionClose()
		return r, nil, errkind.New(errkind.Malformed, "%w", err)
	}
	if s.refuseNew.Load() {
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
	if n := len(r.Body); table.Limits.BodyBytes > 0 && n > table.Limits.BodyBytes {
		return r, nil, errkind.New(errkind.BodyTooLarge, "%d bytes, the limit is %d", n, table.Limits.BodyBytes)
	}
	r.Route, r.Priority, r.Caller = route.Name, route.Priority, s.callerService()
	if e := s.copyFields(r, h); e != nil {
		return r, nil, e
	}
	wait, e := s.waitLimit(h, route)
	r.Deadline = now.Add(wait)
	if route.TargetLatency > 0 {
		r.TargetTime = now.Add(route.TargetLatency)
	}
	return r, route, e
}

// checkHeader rejects headers that are malformed or whose body length is ambiguous.
func checkHeader(h *fasthttp.RequestHeader) error {
	if err := httpconn.CheckHeader(h.RawHeaders()); err != nil {
		return err
	}
	if !h.IsHTTP11() && h.ContentLength() < 0 && len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return httpconn.ErrAmbiguousLength
	}
	return nil
}

// waitLimit returns how long a request may take: the time that the caller states,
// limited by the timeout of the route.
func (s *Server) waitLimit(h *fasthttp.RequestHeader, route *routes.Route) (time.Duration, *errkind.Error) {
	wait := defaultWait
	if v := headerValue(h, s.headerNames.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms < 0 {
			return 0, errkind.New(errkind.Malformed, "%s %q", s.headerNames.Deadline, v)
		}
		wait = time.Duration(ms * float64(time.Millisecond))
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait, nil
}

// copyFields copies the end-to-end header fields to r.Header. It omits those that the
// daemon sets itself, and stores the shard key and the trace context in their own
// fields of r.
func (s *Server) copyFields(r *hop.Request, h *fasthttp.RequestHeader) *errkind.Error {
	connectionFields := hop.ConnectionTokens(h.PeekAll(fasthttp.HeaderConnection))
	for k, v := range fieldsOf(h) {
		name := string(k)
		switch {
		case strings.EqualFold(name, s.headerNames.ShardKey):
			key, err := strconv.ParseUint(strings.TrimSpace(string(v)), 10, 16)
			if err != nil {
				return errkind.New(errkind.Malformed, "%s %q", s.headerNames.ShardKey, v)
			}
			r.Key = int(key)
		case strings.EqualFold(name, "traceparent"):
			r.Trace = string(v)
		case s.isDaemonField(name), hop.IsHopByHop(name, connectionFields...):
		default:
			r.Header = append(r.Header, hop.Field{Name: name, Value: string(v)})
		}
	}
	return nil
}

// isDaemonField reports whether the daemon sets a header field itself.
func (s *Server) isDaemonField(name string) bool {
	n := &s.headerNames
	return hop.ContainsFold([]string{fasthttp.HeaderHost, fasthttp.HeaderExpect, n.RequestID, n.Deadline, n.CallerService, n.TargetServer}, name)
}

// headerValue returns the first value of a header field, matched without regard to
// case, or "" if the header has no such field.
func headerValue(h *fasthttp.RequestHeader, name string) string {
	for k, v := range fieldsOf(h) {
		if strings.EqualFold(string(k), name) {
			return string(v)
		}
	}
	return ""
}

// writeAnswer writes the backend server's answer to the caller.
func (s *Server) writeAnswer(ctx *fasthttp.RequestCtx, r *hop.Request, a *hop.Answer) {
	out := &ctx.Response
	out.Header.DisableNormalizing()
	out.SetStatusCode(a.Status)
	for _, f := range a.Header {
		out.Header.Add(f.Name, f.Value)
	}
	if r.ID != "" {
		out.Header.Set(s.headerNames.RequestID, r.ID)
	}
	if r.Method == fasthttp.MethodHead {
		out.SkipBody = true
		return
	}
	out.SetBodyRaw(a.Body)
}

// writeFailure answers a request that got no answer from a backend server.
func (s *Server) writeFailure(ctx *fasthttp.RequestCtx, r *hop.Request, e *errkind.Error) {
	status, truth := statusOf(e)
	after := e.Answer().RetryAfter
	out := &ctx.Response
	out.Header.DisableNormalizing()
	out.SetStatusCode(status)
	if r.ID != "" {
		out.Header.Set(s.headerNames.RequestID, r.ID)
	}
	if truth == errkind.NotRun && after > 0 && impliesNotRun(status) {
		out.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	s.log.Info("request_failed",
		zap.String("request_id", r.ID), zap.String("route", r.Route), zap.Stringer("kind", e.Kind),
		zap.Int("status", status), zap.String("truth", string(truth)), zap.Duration("retry_after", after),
		zap.String("detail", e.Detail))
}

// impliesNotRun reports whether callers read a status as a promise that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the HTTP status and the truth of a failure. A status that promises
// that the request has not run is used only if the request has not run; otherwise it
// becomes 502. A server error for a request that has not run becomes 503, which lets
// the caller send the request again.
func statusOf(e *errkind.Error) (int, errkind.Truth) {
	a := e.Answer()
	switch {
	case impliesNotRun(a.Status) && a.Truth != errkind.NotRun:
		return fasthttp.StatusBadGateway, a.Truth
	case a.Truth == errkind.NotRun && (a.Status >= fasthttp.StatusInternalServerError || a.Status == statusClientClosed):
		return fasthttp.StatusServiceUnavailable, a.Truth
	case a.Status == statusClientClosed:
		return fasthttp.StatusBadGateway, a.Truth
	}
	return a.Status, a.Truth
}

// statusClientClosed is the status of package errkind for requests whose caller
// disconnected.
const statusClientClosed = 499

// httpLog passes the log messages of the HTTP library to the daemon's log.
type httpLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("caller_connection", zap.String("detail", strings.TrimSpace(format)), zap.Any("args", args))
}
