package sidecar

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of the request path. It implements edge.Metrics.
type metrics struct {
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	repeats  metric.Int64Counter
}

// latencyBounds are the bounds of the latency histogram in seconds: from one hop
// within a failure domain to the longest time that callers wait.
var latencyBounds = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12}

func newMetrics(m metric.Meter, gate func() (running, waiting int)) (*metrics, error) {
	var out metrics
	var err error
	if out.requests, err = m.Int64Counter("burdock_requests", metric.WithDescription("requests of callers by route and outcome")); err != nil {
		return nil, fmt.Errorf("sidecar: metrics: %w", err)
	}
	out.latency, err = m.Float64Histogram("burdock_request_seconds", metric.WithUnit("s"),
		metric.WithDescription("time from a request to its answer by route"), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("sidecar: metrics: %w", err)
	}
	if out.repeats, err = m.Int64Counter("burdock_repeats", metric.WithDescription("requests sent to another backend server by service")); err != nil {
		return nil, fmt.Errorf("sidecar: metrics: %w", err)
	}
	_, err = m.Int64ObservableGauge("burdock_slots_in_use", metric.WithDescription("requests that run on the backend server, and that wait"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			running, waiting := gate()
			o.Observe(int64(running), metric.WithAttributes(attribute.String("state", "running")))
			o.Observe(int64(waiting), metric.WithAttributes(attribute.String("state", "waiting")))
			return nil
		}))
	if err != nil {
		return nil, fmt.Errorf("sidecar: metrics: %w", err)
	}
	return &out, nil
}

// Request implements edge.Metrics.
func (m *metrics) Request(route, kind string, took time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("route", route), attribute.String("outcome", kind)))
	m.latency.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// Repeat implements edge.Metrics.
func (m *metrics) Repeat(service string) {
	m.repeats.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}
