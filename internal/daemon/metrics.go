package daemon

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// registerMetrics registers the gauges that are read when metrics are
// collected. They cost nothing in between.
func (n *node) registerMetrics(m metric.Meter) error {
	gauges := []gauge{
		{"burdock_members", "daemons present in the log", n.countMembers},
		{"burdock_groups_held", "lease groups held by this daemon", n.countGroups},
		{"burdock_slices_held", "slices in lease groups held by this daemon", n.countSlices},
		{"burdock_log_available", "1 while the log answers", n.logAvailable},
		{"burdock_log_next_offset", "offset after the last folded record", n.nextOffset},
		{"burdock_slots_in_use", "requests that run on the backend server", n.slotsInUse},
		{"burdock_requests_waiting", "requests that wait for a slot", n.requestsWaiting},
		{"burdock_caller_connections", "open connections of callers", n.callerConnections},
	}
	for _, g := range gauges {
		if err := g.register(m); err != nil {
			return fmt.Errorf("daemon: metric %s: %w", g.name, err)
		}
	}
	return n.registerOutcomes(m)
}

// gauge is one value read at collection.
type gauge struct {
	name, help string
	read       func() int64
}

func (g gauge) register(m metric.Meter) error {
	_, err := m.Int64ObservableGauge(g.name, metric.WithDescription(g.help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.read())
			return nil
		}))
	return err
}

// registerOutcomes counts the folded records by outcome.
func (n *node) registerOutcomes(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("burdock_records_folded", metric.WithDescription("records of the control stream by outcome"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counters := n.follower.Counters()
			for _, outcome := range ownership.Outcomes() {
				o.Observe(int64(counters.Count(outcome)), metric.WithAttributes(attribute.String("outcome", outcome.String())))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("daemon: metric of records: %w", err)
	}
	return nil
}

func (n *node) countMembers() int64 { return int64(len(n.follower.Table().Members())) }

func (n *node) countGroups() int64 { return int64(len(n.leases.HeldGroups())) }

func (n *node) countSlices() int64 {
	t := n.follower.Table()
	held := 0
	for _, id := range n.leases.HeldGroups() {
		held += t.SliceCount(id)
	}
	return int64(held)
}

func (n *node) logAvailable() int64 {
	if n.recorder.LogAvailable() {
		return 1
	}
	return 0
}

func (n *node) nextOffset() int64 { return int64(n.follower.Table().NextOffset()) }

func (n *node) slotsInUse() int64 { return int64(n.gate.SlotUsage().Running) }

func (n *node) requestsWaiting() int64 { return int64(n.gate.SlotUsage().Waiting) }

func (n *node) callerConnections() int64 { return n.callers.Connections() }
