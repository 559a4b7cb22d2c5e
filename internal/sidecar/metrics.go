package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// metrics holds the instruments of a daemon and implements edge.Metrics. The unexported
// methods may be called on a nil *metrics and then do nothing.
type metrics struct {
	requests    metric.Int64Counter
	latency     metric.Float64Histogram
	repeats     metric.Int64Counter
	declined    metric.Int64Counter
	received    metric.Int64Counter
	serviceTime metric.Float64Histogram
	grants      metric.Int64Counter
	grantCalls  metric.Int64Counter
	panics      metric.Int64Counter
	writes      metric.Int64Counter
	calls       metric.Int64Counter
	crashes     metric.Int64Counter
	quarantined metric.Int64Counter
	evacuated   metric.Int64Counter
	regionBytes metric.Int64Counter
}

// latencyBounds are the bucket bounds of the latency histograms in seconds. They range
// from one hop within a failure domain to the longest time that callers wait.
var latencyBounds = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12}

// newMetrics creates the instruments. gate returns the current use of the slots, limit
// the requests per second that the backend server accepts, zero if it states no limit;
// evacuated the number of evacuated failure domains.
func newMetrics(m metric.Meter, gate func() (running, waiting int), limit func() float64, evacuated func() int, memory *held.Memory) (*metrics, error) {
	var out metrics
	var errs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := m.Int64Counter(name, metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	seconds := func(name, description string) metric.Float64Histogram {
		h, err := m.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
			metric.WithExplicitBucketBoundaries(latencyBounds...))
		errs = append(errs, err)
		return h
	}
	out.requests = counter("burdock_requests", "requests of callers by route and outcome")
	out.latency = seconds("burdock_request_seconds", "time from a request to its answer by route")
	out.repeats = counter("burdock_repeats", "requests sent to a backend server once more, by service")
	out.declined = counter("burdock_declined", "requests that the backend server here did not answer, by kind")
	out.received = counter("burdock_server_requests", "requests that were sent to the backend server here")
	out.serviceTime = seconds("burdock_server_seconds", "service time of the backend server here by route")
	out.grants = counter("burdock_grants", "heartbeats of a server that owns keys, by whether they were answered with a grant")
	out.grantCalls = counter("burdock_grant_calls", "calls that grant keys to the server here or take them back, by kind and outcome")
	out.panics = counter("burdock_panics", "panics by the duty in which they happened, which was then started again")
	out.writes = counter("burdock_ownership_writes", "changes of the ownership table by reason and outcome")
	out.crashes = counter("burdock_server_crashes", "ends of the backend server here while it worked on requests")
	out.quarantined = counter("burdock_quarantined", "requests that are refused from now on because servers ended under them, by source")
	out.evacuated = counter("burdock_evacuation_refused", "requests that were refused because the failure domain here is evacuated")
	out.regionBytes = counter("burdock_region_bytes", "bytes of bodies between this region and another one, by route and region")
	out.calls = counter("burdock_store_calls", "calls to the log service by kind and outcome")
	_, err := m.Int64ObservableGauge("burdock_slots_in_use", metric.WithDescription("requests that run on the backend server, and that wait"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			running, waiting := gate()
			o.Observe(int64(running), metric.WithAttributes(attribute.String("state", "running")))
			o.Observe(int64(waiting), metric.WithAttributes(attribute.String("state", "waiting")))
			return nil
		}))
	_, limitErr := m.Float64ObservableGauge("burdock_server_limit", metric.WithDescription("requests per second that the backend server here accepts, 0 without a limit"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(limit())
			return nil
		}))
	_, evacuatedErr := m.Int64ObservableGauge("burdock_evacuated_domains", metric.WithDescription("failure domains that are evacuated"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(evacuated()))
			return nil
		}))
	_, heldErr := m.Int64ObservableGauge("burdock_held_bytes", metric.WithDescription("bytes held for callers, other daemons and the backend server"), metric.WithUnit("By"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			total, bodies, answers := memory.Bytes()
			o.Observe(bodies, metric.WithAttributes(attribute.String("kind", "bodies")))
			o.Observe(answers, metric.WithAttributes(attribute.String("kind", "answers")))
			o.Observe(total-bodies-answers, metric.WithAttributes(attribute.String("kind", "other")))
			return nil
		}))
	_, cutErr := m.Int64ObservableCounter("burdock_readers_cut", metric.WithDescription("readers of answers that were cut off, by reason"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			slow, unread := memory.Cuts()
			o.Observe(slow, metric.WithAttributes(attribute.String("reason", "memory")))
			o.Observe(unread, metric.WithAttributes(attribute.String("reason", "unread")))
			return nil
		}))
	if err := errors.Join(append(errs, err, limitErr, evacuatedErr, heldErr, cutErr)...); err != nil {
		return nil, fmt.Errorf("sidecar: metrics: %w", err)
	}
	return &out, nil
}

// observeRoom creates the gauges of what the server takes well, and of its pace.
func observeRoom(m metric.Meter, learnt func() (room, pace float64)) error {
	gauge := func(name, description string, value func() float64) error {
		_, err := m.Float64ObservableGauge(name, metric.WithDescription(description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(value())
				return nil
			}))
		return err
	}
	return errors.Join(
		gauge("burdock_server_room", "requests at once that the backend server here takes well", func() float64 { room, _ := learnt(); return room }),
		gauge("burdock_server_pace", "how long work takes on the backend server here, 1 as usual, 0 if unknown", func() float64 { _, pace := learnt(); return pace }),
	)
}

// count adds one to a counter.
func count(c metric.Int64Counter, attributes ...attribute.KeyValue) {
	c.Add(context.Background(), 1, metric.WithAttributes(attributes...))
}

// CountRequest implements edge.Metrics.
func (m *metrics) CountRequest(route, kind string, took time.Duration) {
	count(m.requests, attribute.String("route", route), attribute.String("outcome", kind))
	m.latency.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// CountRepeat implements edge.Metrics.
func (m *metrics) CountRepeat(service string) {
	count(m.repeats, attribute.String("service", service))
}

func (m *metrics) recordServiceTime(route string, took time.Duration) {
	if m != nil && took > 0 {
		m.serviceTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
	}
}

func (m *metrics) countDeclined(kind string) {
	if m != nil {
		count(m.declined, attribute.String("kind", kind))
	}
}

func (m *metrics) countEvacuated() {
	if m != nil {
		count(m.evacuated)
	}
}

func (m *metrics) countServerRequest(sent bool) {
	if m != nil && sent {
		count(m.received)
	}
}

func (m *metrics) countGrant(issued bool) {
	if m != nil {
		count(m.grants, attribute.Bool("given", issued))
	}
}

func (m *metrics) countGrantCall(kind keyrange.CallKind, outcome keyrange.CallOutcome) {
	if m != nil {
		count(m.grantCalls, attribute.Stringer("kind", kind), attribute.Stringer("outcome", outcome))
	}
}

func (m *metrics) countCrash() {
	if m != nil {
		count(m.crashes)
	}
}

func (m *metrics) countQuarantine(source string) {
	if m != nil {
		count(m.quarantined, attribute.String("source", source))
	}
}

func (m *metrics) countRegionBytes(route string, region ident.Region, bytes int) {
	if m != nil && bytes > 0 {
		m.regionBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("route", route), attribute.String("region", string(region))))
	}
}

func (m *metrics) countPanic(duty string) {
	if m != nil {
		count(m.panics, attribute.String("duty", duty))
	}
}

func (m *metrics) countWrite(reason string, written bool) {
	if m != nil {
		count(m.writes, attribute.String("reason", reason), attribute.Bool("written", written))
	}
}

// observedLog counts the calls to a keyed log by kind and outcome, and logs what its answers
// show of its history.
type observedLog struct {
	logservice.KeyedLog
	calls metric.Int64Counter
	log   *zap.Logger

	era       atomic.Uint64 // last era that was logged
	answered  atomic.Bool   // a call has succeeded, so that era is known
	onRestore func()        // called when the log has come back from a copy
}

func (l *observedLog) countCall(call string, err error) {
	l.observeEra(err == nil)
	outcome := "ok"
	switch {
	case errors.Is(err, context.Canceled):
		outcome = "interrupted"
	case errors.Is(err, logservice.ErrMoved):
		outcome = "moved"
	case errors.Is(err, logservice.ErrTruncated):
		outcome = "truncated"
		l.log.Warn("stream_truncated", zap.String("call", call), zap.Error(err))
	case errors.Is(err, logservice.ErrOutcomeUnknown):
		outcome = "unknown"
	case err != nil:
		outcome = "failed"
	}
	count(l.calls, attribute.String("call", call), attribute.String("outcome", outcome))
}

// observeEra logs the era of the log when it has risen after a call. The era that the first
// answer shows is no restore.
func (l *observedLog) observeEra(answered bool) {
	era := l.KeyedLog.Era()
	if before := l.era.Load(); era > before && l.era.CompareAndSwap(before, era) {
		l.log.Info("store_era", zap.Uint64("era", era), zap.Uint64("before", before))
		if l.answered.Load() {
			l.onRestore()
		}
	}
	if answered {
		l.answered.Store(true)
	}
}

// Newest implements logservice.KeyedLog.
func (l *observedLog) Newest(ctx context.Context, s logservice.Stream) (logservice.Newest, error) {
	n, err := l.KeyedLog.Newest(ctx, s)
	l.countCall("newest", err)
	return n, err
}

// Poll implements logservice.KeyedLog.
func (l *observedLog) Poll(ctx context.Context, s logservice.Stream, from ident.Offset, wait time.Duration) (logservice.Changes, error) {
	c, err := l.KeyedLog.Poll(ctx, s, from, wait)
	l.countCall("poll", err)
	return c, err
}

// Put implements logservice.KeyedLog.
func (l *observedLog) Put(ctx context.Context, s logservice.Stream, key string, value []byte) error {
	err := l.KeyedLog.Put(ctx, s, key, value)
	l.countCall("put", err)
	return err
}

// PutAt implements logservice.KeyedLog.
func (l *observedLog) PutAt(ctx context.Context, s logservice.Stream, at ident.Offset, key string, value []byte) error {
	err := l.KeyedLog.PutAt(ctx, s, at, key, value)
	l.countCall("put_at", err)
	return err
}
