package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/connlimit"
)

// Limits of each of the ports other than those for callers and daemons.
const (
	portHeadBytes   = 4 << 10
	portReadTimeout = 10 * time.Second // for a call
	portWriteTime   = 10 * time.Second // for its answer
	portIdleTimeout = time.Minute
)

// portLimits bound what the clients of a port can make the daemon hold.
type portLimits struct {
	connections int // above which those that are used least are closed
	bodyBytes   int // of one call
}

var (
	// localPort has one client, the backend server on this host. A heartbeat lists the keys that
	// the server holds.
	localPort = portLimits{connections: 32, bodyBytes: 256 << 10}
	// readyPort is asked once a second.
	readyPort = portLimits{connections: 32, bodyBytes: 4 << 10}
	// metricsPort is read by few collectors. An answer takes up to some hundred kilobytes while it
	// is made.
	metricsPort = portLimits{connections: 8, bodyBytes: 4 << 10}
)

// portLog passes the messages of the HTTP library to the daemon's log.
type portLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l portLog) Printf(format string, args ...any) {
	if line := l.log.Check(zap.DebugLevel, "port_connection"); line != nil {
		line.Write(zap.String("detail", fmt.Sprintf(format, args...)))
	}
}

// newServer returns an HTTP server that keeps to the limits.
func (l portLimits) newServer(h fasthttp.RequestHandler, log *zap.Logger) *fasthttp.Server {
	s := &fasthttp.Server{
		Handler: h, NoDefaultServerHeader: true, NoDefaultDate: true,
		ReadBufferSize: portHeadBytes, MaxRequestBodySize: l.bodyBytes, DisablePreParseMultipartForm: true,
		ReadTimeout: portReadTimeout, WriteTimeout: portWriteTime, IdleTimeout: portIdleTimeout,
		Logger: portLog{log},
	}
	connlimit.Apply(s, l.connections)
	return s
}

// observeConnections creates the instrument of the connections that were closed for others' sake.
func (d *Daemon) observeConnections(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("burdock_connections_closed",
		metric.WithDescription("connections closed for others' sake, by reason"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			surplus, unread := d.edge.ClosedConnections()
			o.Observe(surplus, metric.WithAttributes(attribute.String("reason", "limit")))
			o.Observe(unread, metric.WithAttributes(attribute.String("reason", "unread")))
			o.Observe(d.drainer.Resets(), metric.WithAttributes(attribute.String("reason", "unread_at_close")))
			return nil
		}))
	if err != nil {
		return fmt.Errorf("sidecar: metrics: %w", err)
	}
	return nil
}
