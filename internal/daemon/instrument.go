package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// answeredKind labels requests that a backend server answered.
const answeredKind = "answered"

// requestLabels are the labels of one series of requests.
type requestLabels struct {
	service ident.Service
	origin  string
	kind    string // error kind, or answeredKind
}

// requestMetrics counts the requests of one chain with the time until the head
// of the answer. The label sets are built once.
type requestMetrics struct {
	origin string
	clock  ident.Clock
	time   metric.Float64Histogram
	sets   sync.Map // requestLabels -> metric.RecordOption
}

// durationBounds are the upper bounds of the histogram's buckets in seconds.
var durationBounds = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

func newRequestMetrics(m metric.Meter, origin string, clock ident.Clock) (*requestMetrics, error) {
	h, err := m.Float64Histogram("burdock_request_duration",
		metric.WithDescription("requests by service, origin and kind, with the time until the head of the answer"),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBounds...))
	if err != nil {
		return nil, fmt.Errorf("daemon: request metrics: %w", err)
	}
	return &requestMetrics{origin: origin, clock: clock, time: h}, nil
}

// wrap counts what next handles.
func (rm *requestMetrics) wrap(next pipeline.Handler) pipeline.Handler {
	return pipeline.HandlerFunc(func(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error) {
		start := rm.clock.Now()
		resp, err := next.Handle(ctx, r)
		rm.record(ctx, r, rm.clock.Now().Sub(start), err)
		return resp, err
	})
}

// record counts one request. A request for a service that does not exist is
// counted without a name, so that callers cannot add series.
func (rm *requestMetrics) record(ctx context.Context, r *pipeline.Request, took time.Duration, err error) {
	l := requestLabels{service: r.Service.Name, origin: rm.origin, kind: answeredKind}
	if err != nil {
		l.kind = errkind.Of(err).String()
	}
	rm.time.Record(ctx, took.Seconds(), rm.option(l))
}

func (rm *requestMetrics) option(l requestLabels) metric.RecordOption {
	if o, ok := rm.sets.Load(l); ok {
		return o.(metric.RecordOption)
	}
	o := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", string(l.service)),
		attribute.String("origin", l.origin),
		attribute.String("kind", l.kind)))
	rm.sets.Store(l, o)
	return o
}

// instrument counts the requests of a chain.
func (n *node) instrument(h pipeline.Handler, origin string) (pipeline.Handler, error) {
	rm, err := newRequestMetrics(n.providers.Meter(), origin, n.clock)
	if err != nil {
		return nil, err
	}
	return rm.wrap(h), nil
}
