package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/drain"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// Times of a graceful shutdown.
const (
	drainPollInterval = 20 * time.Millisecond  // between checks for requests in progress
	closeTimeout      = 250 * time.Millisecond // for closing the ports
)

// drain prepares the daemon for its stop. It reports itself as not ready and leaves
// callers time to go elsewhere; in that time it still serves requests, also those of
// other daemons for keys that only the server here holds, as far as they can end in the
// grace time. After that, drain refuses new requests and waits for those in progress. What
// has not ended by then gets a failure.
func (d *Daemon) drain(ctx context.Context) {
	plan := drain.NewSchedule(d.clock.Now(), d.cfg.Drain.GraceTime)
	d.stopping.Store(true)
	d.log.Info("daemon_drains", zap.Int64("requests", d.edge.OpenRequests()))
	d.peers.announceLeave()
	d.edge.CloseConnectionsAfterAnswers()
	d.bounds.LimitDeadlines(plan.Deadline)
	d.sleepUntil(ctx, plan.RefuseAt)
	d.edge.RefuseNewRequests()
	d.executor.refuseNew.Store(true)
	d.awaitIdle(ctx, plan.AbortAt)
	if !d.isIdle() { // answers that are being written go on
		d.log.Warn("requests_aborted", zap.Int64("requests", d.edge.OpenRequests()), zap.Int("running", d.gate.SlotUsage().Running))
		d.bounds.Abort()
	}
	d.awaitIdle(ctx, plan.EndAt)
	d.log.Info("daemon_drained", zap.Int64("requests", d.edge.OpenRequests()), zap.Int("running", d.gate.SlotUsage().Running),
		zap.Int("connections", d.edge.ActiveConnections()), zap.Int64("peer_requests", d.hop.OpenRequests()))
}

// awaitIdle waits until no request is in progress, at most until an instant.
func (d *Daemon) awaitIdle(ctx context.Context, until ident.Instant) {
	for ctx.Err() == nil && d.clock.Now() < until && !d.isIdle() {
		sleep(ctx, drainPollInterval)
	}
}

// isIdle reports whether no request is in progress and no answer is being written.
func (d *Daemon) isIdle() bool { return d.edge.ActiveConnections() == 0 && d.hop.OpenRequests() == 0 }

func (d *Daemon) sleepUntil(ctx context.Context, at ident.Instant) {
	sleep(ctx, at.Sub(d.clock.Now()))
}

// stop closes the ports and ends the duties. It logs errors and returns nil.
func (d *Daemon) stop(g *duty.Group, p *listeners) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := d.edge.Shutdown(ctx)
	if cerr := d.mesh.Close(); err == nil {
		err = cerr
	}
	for _, s := range p.http {
		err = errors.Join(err, s.ShutdownWithContext(ctx))
	}
	g.Stop()
	d.origin.Close()
	d.log.Info("daemon_stopped", telemetry.Member(d.member), zap.Error(err))
	return nil
}
