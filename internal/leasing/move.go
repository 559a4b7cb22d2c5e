package leasing

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// move is one handoff by consent. Until released is asked for, it can be given
// up and the slices are served again; afterwards only the log settles them.
type move struct {
	to       ident.Member // the group that gets the slices
	receiver ident.Member // the holder of that group
	slices   []ident.Slice
	parts    []*movePart
	acks     *duty.Ring[lease.Release] // as many as slices
	released *duty.Ring[error]         // one outcome

	abandoned atomic.Bool // the caller gave up; void once releasing
	releasing bool        // the loop has released slices
}

// movePart is the slices of a move that leave one group. It belongs to the loop
// once the slices are closed.
type movePart struct {
	group ident.Member
	claim ident.Claim
	items []lease.Release
	seq   uint64 // of the release
	done  bool   // the witnesses have confirmed the release
}

// items lists the slices of all parts.
func (m *move) items() []lease.Release {
	var out []lease.Release
	for _, p := range m.parts {
		out = append(out, p.items...)
	}
	return out
}

func (m *move) part(group ident.Member, claim ident.Claim) *movePart {
	for _, p := range m.parts {
		if p.group == group {
			return p
		}
	}
	p := &movePart{group: group, claim: claim}
	m.parts = append(m.parts, p)
	return p
}

// request is a call into the loop.
type request interface{ apply(c *Controller) }

// moveStep is a step of a move that the loop carries out and answers.
type moveStep struct {
	move  *move
	step  func(c *Controller, m *move) error
	reply *duty.Ring[error] // one answer
}

// apply answers after the view is published, so that the caller sees every
// request that was let in before the step.
func (s moveStep) apply(c *Controller) {
	ctx := context.Background()
	err := s.step(c, s.move)
	c.publish(ctx)
	s.reply.Put(ctx, err)
}

// ask has the loop carry out a step.
func (c *Controller) ask(ctx context.Context, m *move, step func(*Controller, *move) error) error {
	s := moveStep{move: m, step: step, reply: duty.NewRing[error](1, duty.RefuseNew)}
	if !c.requests.Put(ctx, s) {
		return errkind.New(errkind.Overloaded, "too many moves at once")
	}
	select {
	case err := <-s.reply.C():
		return err
	case <-ctx.Done():
		return errkind.New(errkind.DeadlineBeforeStart, "move: %w", ctx.Err())
	}
}

// MoveSlices hands slices held here to the lease group to, by consent. It returns nil
// when the log has the new assignment. After an error before the release the
// slices are served here again; after a later one the assignment is still
// written as soon as the log allows.
func (c *Controller) MoveSlices(ctx context.Context, list []ident.Slice, to ident.Member) error {
	m, err := c.newMove(list, to)
	if err != nil {
		return err
	}
	if err := c.ask(ctx, m, (*Controller).closeSlices); err != nil {
		c.giveUp(m)
		return err
	}
	if !c.Recorder.LogAvailable() {
		c.giveUp(m)
		return errkind.New(errkind.LogUnavailable, "move: %w", logservice.ErrUnavailable)
	}
	if err := c.prepare(ctx, m); err != nil {
		c.giveUp(m)
		return err
	}
	if err := c.release(ctx, m); err != nil {
		return err
	}
	return c.awaitAssignment(ctx, m)
}

func (c *Controller) newMove(list []ident.Slice, to ident.Member) (*move, error) {
	g, found := c.table.Group(to)
	if !found {
		return nil, errkind.New(errkind.NotFound, "no group %s", to)
	}
	return &move{
		to:       to,
		receiver: g.Holder,
		slices:   list,
		acks:     duty.NewRing[lease.Release](len(list)+1, duty.DropOldest),
		released: duty.NewRing[error](1, duty.RefuseNew),
	}, nil
}

// closeSlices makes new requests wait; it runs in the loop.
func (c *Controller) closeSlices(m *move) error {
	v := c.view.Load()
	for _, s := range m.slices {
		info, found := c.table.Slice(s)
		o, open := v.open[s]
		if !found || !open || c.moves[s] != nil || info.Group != o.group {
			return errkind.New(errkind.NotOwner, "slice %s is not open here", s)
		}
		if o.group == m.to && m.receiver == c.self {
			return errkind.New(errkind.Conflict, "slice %s is in group %s already", s, m.to)
		}
		p := m.part(o.group, o.epoch.Claim())
		p.items = append(p.items, lease.Release{Slice: s, Prior: info.Assignment})
	}
	for _, s := range m.slices {
		c.moves[s] = m
	}
	return nil
}

// giveUp serves the slices here again, unless some were released already.
func (c *Controller) giveUp(m *move) {
	m.abandoned.Store(true)
	c.NotifyTableChanged()
}

// endMoves forgets the moves that were given up and those whose slices the table
// shows elsewhere; it runs in the loop.
func (c *Controller) endMoves() {
	for _, m := range c.moves {
		if m.abandoned.Load() && !m.releasing {
			c.forget(m.items())
			continue
		}
		for _, r := range m.items() {
			if m.releasing && c.isSettled(r) {
				delete(c.moves, r.Slice)
			}
		}
	}
}

func (c *Controller) forget(items []lease.Release) {
	for _, r := range items {
		delete(c.moves, r.Slice)
	}
}

// prepare lets the requests in flight end and hands the idempotency records
// over, unless the other group is held here as well.
func (c *Controller) prepare(ctx context.Context, m *move) error {
	for _, s := range m.slices {
		if err := c.inFlight.wait(ctx, s); err != nil {
			return errkind.New(errkind.DeadlineBeforeStart, "move: requests in flight on %s: %w", s, err)
		}
	}
	if m.receiver == c.self {
		return nil
	}
	messages, err := c.export(m)
	if err != nil {
		return err
	}
	return c.transfer(ctx, m, messages)
}

// release gives the slices up at the witnesses and waits for a majority.
func (c *Controller) release(ctx context.Context, m *move) error {
	if err := c.ask(ctx, m, (*Controller).startRelease); err != nil {
		c.giveUp(m)
		return err
	}
	select {
	case err := <-m.released.C():
		return err
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "move: release not confirmed: %w", ctx.Err())
	}
}

// startRelease runs in the loop. From here on only the log settles the slices.
func (c *Controller) startRelease(m *move) error {
	now := c.clock.Now()
	if m.abandoned.Load() {
		return errkind.New(errkind.Canceled, "move: given up")
	}
	for _, p := range m.parts {
		claim, _, ok := c.node.ValidLease(now, p.group)
		if !ok || claim != p.claim || c.groups[p.group] == nil {
			return errkind.New(errkind.LeaseLapsed, "move: the lease on %s has lapsed", p.group)
		}
	}
	m.releasing = true
	for _, p := range m.parts {
		for _, r := range p.items {
			c.groups[p.group].released[r.Slice] = r.Prior
		}
		var cmds []lease.Command
		p.seq, cmds = c.node.ReleaseSlices(now, p.group, p.items)
		c.execute(cmds)
	}
	return nil
}

// onReleaseDone lets the log assign slices once the witnesses of their group
// know of the release.
func (c *Controller) onReleaseDone(r *lease.ReleaseDone) {
	for _, m := range c.moves {
		for _, p := range m.parts {
			if p.group == r.Group && p.seq == r.Seq && !p.done {
				c.assign(m, p)
				return
			}
		}
	}
}

func (c *Controller) assign(m *move, p *movePart) {
	p.done = true
	for _, r := range p.items {
		c.settling.assign[r] = destination{group: m.to}
	}
	c.Log.Info("slices_released", zap.Int("slices", len(p.items)), zap.Stringer("to", m.to))
	if !slices.ContainsFunc(m.parts, func(p *movePart) bool { return !p.done }) {
		m.released.Put(context.Background(), nil)
	}
}

// failReleases ends what was released at an older claim on the group: the
// witnesses have told this claim of what they know.
func (c *Controller) failReleases(group ident.Member, claim ident.Claim) {
	for _, m := range c.moves {
		for _, p := range m.parts {
			if p.group != group || p.claim == claim {
				continue
			}
			c.forget(p.items)
			m.released.Put(context.Background(), errkind.New(errkind.LeaseLapsed, "move: the lease on %s has lapsed", group))
		}
	}
}

// awaitAssignment waits until the table shows the slices in the other group.
func (c *Controller) awaitAssignment(ctx context.Context, m *move) error {
	for _, r := range m.items() {
		if err := c.awaitSettled(ctx, r); err != nil {
			return err
		}
		info, _ := c.table.Slice(r.Slice)
		if info.Assignment == r.Prior+1 && info.Group != m.to {
			return errkind.New(errkind.Conflict, "move: %s was assigned to %s", r.Slice, info.Group)
		}
	}
	return nil
}

func (c *Controller) awaitSettled(ctx context.Context, r lease.Release) error {
	for {
		changed := c.view.Load().changed
		if c.isSettled(r) {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(c.config.RetryEvery):
		case <-ctx.Done():
			return errkind.New(errkind.OutcomeUnknown, "move: assignment of %s not recorded yet: %w", r.Slice, ctx.Err())
		}
	}
}
