package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	reconcileInterval = 200 * time.Millisecond
	recordTimeout     = 5 * time.Second
)

// reconcile keeps the log's view of this member equal to the truth: it joins,
// and records each change of the backend server beside it. Since it compares
// rather than reports, a lost write is made good at the next look.
func (n *node) reconcile(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		if err := n.reconcileOnce(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-n.registry.Changed():
			n.leases.ResendGrants()
		}
	}
}

func (n *node) reconcileOnce(ctx context.Context) error {
	if n.left.Load() {
		return nil
	}
	info, ok := n.follower.Table().Member(n.self)
	switch {
	case !ok && n.joined.Load():
		return ErrRemoved
	case ok && !info.Present:
		return ErrRemoved
	case !ok:
		return n.record(ctx, n.joinRecord())
	}
	n.joined.Store(true)
	if want := n.backendRecord(); differs(want, info) {
		return n.record(ctx, want)
	}
	return nil
}

func (n *node) joinRecord() *record.MemberJoined {
	return &record.MemberJoined{
		Member:     n.self,
		Location:   n.location,
		MeshAddr:   n.addrs.Mesh,
		CallerAddr: n.addrs.Caller,
		AdminAddr:  n.addrs.Admin,
		PublicKey:  n.publicKey,
	}
}

// backendRecord is the backend server as it is now.
func (n *node) backendRecord() *record.BackendChanged {
	r := &record.BackendChanged{Member: n.self}
	reg, ok := n.registry.Current()
	if !ok {
		return r
	}
	r.Pool = reg.Announcement.Pool
	r.Draining = reg.Announcement.Draining || n.draining.Load()
	r.Capabilities = reg.Announcement.Capabilities()
	return r
}

func differs(r *record.BackendChanged, info ownership.MemberInfo) bool {
	return r.Pool != info.Pool || r.Draining != info.Draining || r.Capabilities != info.Capabilities
}

// record writes one record of this member and only logs a failure, since the
// next look tries again.
func (n *node) record(ctx context.Context, b record.Body) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := n.recorder.Record(ctx, b)
	if err != nil && !errors.Is(err, logservice.ErrUnavailable) {
		n.log.Warn("member_record_failed", zap.Error(err))
	}
	return nil
}

// lead writes what the planner proposes: elections, lease groups, assignments
// of unassigned slices and removals of lost members.
func (n *node) lead(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if !n.joined.Load() || !n.recorder.LogAvailable() {
			continue
		}
		bodies := n.planner.Plan(n.clock.Now(), n.follower.Table(), logView{n.follower})
		if len(bodies) == 0 {
			continue
		}
		n.writePlan(ctx, bodies)
	}
}

func (n *node) writePlan(ctx context.Context, bodies []record.Body) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := n.recorder.Record(ctx, bodies...); err != nil {
		n.log.Info("plan_not_recorded", zap.Int("records", len(bodies)), zap.Error(err))
	}
}

// logView is the planner's view of who is alive: what the log shows. A member is
// given up only when a successor's claim on its lease group was recorded.
type logView struct{ follower *control.Follower }

// Suspected implements membership.LiveView.
func (v logView) Suspected(m ident.Member) bool {
	g, ok := v.follower.Table().Group(m)
	return ok && g.Holder != m
}

// LogCurrent implements membership.LiveView.
func (v logView) LogCurrent() bool { return v.follower.LogReadable() }
