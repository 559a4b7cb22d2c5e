package daemon

import (
	"context"
	"crypto/ed25519"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admin"
	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/callerport"
	"github.com/burdockfold/burdockfold/internal/certs"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/membership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/leasing"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/metering"
	"github.com/burdockfold/burdockfold/internal/routing"
	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// node is a daemon with its identity: every part that names the member.
type node struct {
	self      ident.Member
	location  ident.Location
	addrs     settings.Addresses // advertised
	publicKey ed25519.PublicKey
	clock     *ident.MonotonicClock
	log       *zap.Logger
	shutdown  time.Duration // bound of the drain

	ports      *ports
	follower   *control.Follower
	recorder   *control.Recorder
	planner    *membership.Planner
	leases     *leasing.Controller
	router     *routing.Router
	mesh       *mesh.Mesh
	registry   *backend.Registry
	orders     *backend.CommandSender
	executor   *backend.Executor
	local      *backend.LocalPort
	gate       *admitting.Gate
	callers    *callerport.Port
	meter      *metering.Meter
	usage      *metering.Writer
	certs      *certs.Reloader // nil: plain text
	admin      *admin.Server
	adminTLS   *certs.Reloader // nil: plain text
	providers  *telemetry.Providers
	drainAsked chan struct{} // holds one request of an operator to drain

	joined   atomic.Bool // the table shows this member
	draining atomic.Bool // the daemon is leaving
	left     atomic.Bool // the member's last record is on its way
}

// start runs every duty of the node in the group.
func (n *node) start(g *duty.Group) {
	g.Go("recorder", n.recorder.Run)
	g.Go("leases", n.leases.Run)
	g.Go("reconcile", n.reconcile)
	g.Go("lead", n.lead)
	g.Go("snapshots", n.snapshots)
	g.Go("orders", n.orders.Run)
	g.Go("usage", n.usage.Run)
	for _, c := range []*certs.Reloader{n.certs, n.adminTLS} {
		if c != nil {
			g.Go("certificates", c.Run)
		}
	}
	g.Go("admission", n.gate.Run)
	g.Go("slots", n.followSlots)
	g.Go("mesh", func(context.Context) error { return n.mesh.Serve(n.ports.mesh) })
	g.Go("local port", func(context.Context) error { return n.local.Serve(n.ports.local) })
	g.Go("admin port", func(context.Context) error { return n.admin.Serve(n.ports.admin) })
	g.Go("caller port", func(context.Context) error { return n.callers.Serve(n.ports.caller) })
	n.log.Info("daemon_started",
		zap.String("caller", n.addrs.Caller), zap.String("mesh", n.addrs.Mesh),
		zap.String("local", n.ports.local.Addr().String()), zap.String("admin", n.addrs.Admin))
}

// askDrain asks for the drain that SIGTERM starts; asking twice is asking once.
func (n *node) askDrain() {
	select {
	case n.drainAsked <- struct{}{}:
	default:
	}
}

// ready returns why the daemon cannot serve callers now, or nil.
func (n *node) ready() error {
	switch {
	case n.draining.Load():
		return errkind.New(errkind.Draining, "the daemon drains")
	case !n.joined.Load():
		return errkind.New(errkind.BackendUnavailable, "the daemon has not joined yet")
	default:
		return nil
	}
}

// drain leaves without cutting a request: no new work is attracted, the slices
// move to other members, requests in flight finish, the member leaves the log.
func (n *node) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.shutdown)
	defer cancel()
	n.log.Info("drain_started")
	n.draining.Store(true)
	n.handOver(ctx)
	n.callers.Retire()
	n.awaitIdle(ctx)
	n.awaitCallers(ctx)
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("caller_port_not_idle", zap.Error(err))
	}
	n.leave(ctx)
	n.log.Info("drain_ended")
}

// handOver moves the slices held here to other members. It ends early when no
// other member could take them.
func (n *node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.shutdown/2) // the rest is for requests in flight
	defer cancel()
	g := duty.NewGroup(ctx)
	g.Go("successors", func(ctx context.Context) error {
		t := time.NewTicker(reconcileInterval)
		defer t.Stop()
		for n.hasSuccessor() {
			select {
			case <-ctx.Done():
				return nil
			case <-t.C:
			}
		}
		cancel()
		return nil
	})
	if err := n.leases.Drain(ctx); err != nil {
		n.log.Warn("drain_incomplete", zap.Error(err))
		n.resign()
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		n.log.Error("drain_watch_failed", zap.Error(err))
	}
}

// resign gives the groups that could not be emptied to a successor at once, so
// that nobody waits for the leases to lapse. It does not need the log.
func (n *node) resign() {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := n.leases.ResignGroups(ctx); err != nil {
		n.log.Warn("resign_incomplete", zap.Error(err))
	}
}

// hasSuccessor reports whether another member of the pool can take slices.
func (n *node) hasSuccessor() bool {
	t := n.follower.Table()
	info, ok := t.Member(n.self)
	if !ok {
		return false
	}
	for _, m := range t.PoolMembers(info.Pool) {
		if m.Member != n.self && !m.Draining {
			return true
		}
	}
	return false
}

// awaitIdle waits until peers have noticed that the member drains and nothing
// runs here.
func (n *node) awaitIdle(ctx context.Context) {
	const settle = 300 * time.Millisecond
	idleSince := n.clock.Now()
	t := time.NewTicker(settle / 10)
	defer t.Stop()
	for {
		now := n.clock.Now()
		if l := n.gate.SlotUsage(); l.Running+l.Waiting > 0 {
			idleSince = now
		}
		if now.Sub(idleSince) >= settle {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitCallers waits until the connections of callers have ended with an answer,
// but not for those that stay idle.
func (n *node) awaitCallers(ctx context.Context) {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	t := time.NewTicker(patience / 100)
	defer t.Stop()
	for n.callers.Connections() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) leave(ctx context.Context) {
	n.left.Store(true)
	err := n.recorder.Record(ctx, &record.MemberLeft{Member: n.self, Reason: record.LeftVoluntarily})
	if err != nil {
		n.log.Warn("leave_not_recorded", zap.Error(err))
	}
}

// close ends the parts that do not end with their context.
func (n *node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	_ = n.admin.Shutdown(ctx)
	_ = n.local.Close()
	_ = n.mesh.Close()
	n.executor.Close()
	if err := n.providers.Shutdown(ctx); err != nil {
		n.log.Warn("telemetry_not_flushed", zap.Error(err))
	}
}

// followSlots gives the admission gate the slots that the backend server
// announces.
func (n *node) followSlots(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	var slots uint32
	for {
		reg, ok := n.registry.Current()
		if ok && reg.Announcement.Slots != slots {
			slots = reg.Announcement.Slots
			n.gate.SetSlots(int(slots), int(slots)/reservedPart)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// reservedPart is the part of the slots kept for short work: one in so many.
const reservedPart = 4
