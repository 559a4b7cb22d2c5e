package sidecar

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// sendRate returns the bytes per second of a link that is slow enough to space the bodies on
// it, or zero.
func sendRate(mbps float64) float64 {
	if linkroom.UnpacedBytes(mbps) == 0 {
		return 0
	}
	return linkroom.BytesPerSecond(mbps)
}

// buildLinkRoom makes long bodies wait for room on the link of this host if it is slow.
// remote receives the bodies of answers, d.hop those of requests.
func (d *Daemon) buildLinkRoom(remote *hop.Client) error {
	room := hop.NewLinkRoom(d.cfg.Resources.LinkMbps, d.mesh.BytesReceived, d.clock)
	if room == nil {
		return nil
	}
	remote.SetLinkRoom(room)
	d.hop.SetLinkRoom(room, func() hop.Load {
		l := d.gate.SlotUsage()
		load := hop.Load{Running: l.Running, Waiting: l.Waiting, Slots: d.server.rosterEntry().Slots}
		load.Room, load.Pace = d.gate.Room()
		return load
	})
	return observeLinkRoom(d.telemetry.Meter(), room)
}

// observeLinkRoom creates the instruments of the link.
func observeLinkRoom(m metric.Meter, room *hop.LinkRoom) error {
	_, waitErr := m.Float64ObservableGauge("burdock_link_wait_seconds", metric.WithUnit("s"),
		metric.WithDescription("time that a long body of another daemon waits for the link of this host"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(room.Wait().Seconds())
			return nil
		}))
	_, refusedErr := m.Int64ObservableCounter("burdock_link_refused",
		metric.WithDescription("requests whose body the link of this host had no room for, by whether this was told at their head"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			c := room.Counts()
			o.Observe(c.Refused, metric.WithAttributes(attribute.Bool("at_head", true)))
			o.Observe(c.Late, metric.WithAttributes(attribute.Bool("at_head", false)))
			return nil
		}))
	if err := errors.Join(waitErr, refusedErr); err != nil {
		return fmt.Errorf("sidecar: metrics: %w", err)
	}
	return nil
}
