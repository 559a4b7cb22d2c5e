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

// move is one handoff of slices to another group. Until the loop starts the
// release, the move can be abandoned and the slices are served here again;
// afterwards only a record in the log decides who owns them.
type move struct {
	to            ident.Member // group that receives the slices
	receiver      ident.Member // member that holds that group
	slices        []ident.Slice
	parts         []*movePart
	acks          *duty.Ring[lease.Release] // confirmed transfers; capacity for one per slice
	releaseResult *duty.Ring[error]         // outcome of the release; at most one

	abandoned atomic.Bool // the caller abandoned the move; has no effect once releasing is set
	releasing bool        // the loop has started the release
}

// movePart holds the slices of a move that leave the same group. The loop owns
// it once the slices are closed.
type movePart struct {
	group      ident.Member
	claim      ident.Claim
	releases   []lease.Release
	releaseSeq uint64 // sequence number of the release in the lease protocol
	confirmed  bool   // a majority of the witnesses has confirmed the release
}

// allReleases returns the releases of all parts.
func (m *move) allReleases() []lease.Release {
	var out []lease.Release
	for _, p := range m.parts {
		out = append(out, p.releases...)
	}
	return out
}

// partFor returns the part of a group and adds it if it does not exist.
func (m *move) partFor(group ident.Member, claim ident.Claim) *movePart {
	for _, p := range m.parts {
		if p.group == group {
			return p
		}
	}
	p := &movePart{group: group, claim: claim}
	m.parts = append(m.parts, p)
	return p
}

// loopRequest is a call that the loop carries out.
type loopRequest interface{ apply(c *Controller) }

// moveStep is a loopRequest that carries out one step of a move and replies
// with the step's error.
type moveStep struct {
	move  *move
	step  func(c *Controller, m *move) error
	reply *duty.Ring[error] // exactly one reply
}

// apply runs the step and publishes the view before it replies, so that the
// caller can observe every request that was admitted before the step.
func (s moveStep) apply(c *Controller) {
	ctx := context.Background()
	err := s.step(c, s.move)
	c.publishView(ctx)
	s.reply.Put(ctx, err)
}

// runInLoop has the loop carry out a step of the move and returns the step's
// error.
func (c *Controller) runInLoop(ctx context.Context, m *move, step func(*Controller, *move) error) error {
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

// MoveSlices hands off slices that this daemon holds to the lease group to. It
// returns nil once the table shows the new assignment. After an error before
// the release, this daemon serves the slices again. After a later error, the
// controller still records the assignment as soon as the log allows.
func (c *Controller) MoveSlices(ctx context.Context, list []ident.Slice, to ident.Member) error {
	m, err := c.newMove(list, to)
	if err != nil {
		return err
	}
	if err := c.runInLoop(ctx, m, (*Controller).closeSlices); err != nil {
		c.abandonMove(m)
		return err
	}
	if !c.Recorder.LogAvailable() {
		c.abandonMove(m)
		return errkind.New(errkind.LogUnavailable, "move: %w", logservice.ErrUnavailable)
	}
	if err := c.drainAndTransfer(ctx, m); err != nil {
		c.abandonMove(m)
		return err
	}
	if err := c.releaseSlices(ctx, m); err != nil {
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
		to:            to,
		receiver:      g.Holder,
		slices:        list,
		acks:          duty.NewRing[lease.Release](len(list)+1, duty.DropOldest),
		releaseResult: duty.NewRing[error](1, duty.RefuseNew),
	}, nil
}

// closeSlices makes new requests for the slices wait and fills the parts of the
// move. It runs in the loop.
func (c *Controller) closeSlices(m *move) error {
	v := c.view.Load()
	for _, s := range m.slices {
		info, found := c.table.Slice(s)
		o, open := v.openSlices[s]
		if !found || !open || c.moves[s] != nil || info.Group != o.group {
			return errkind.New(errkind.NotOwner, "slice %s is not open here", s)
		}
		if o.group == m.to && m.receiver == c.self {
			return errkind.New(errkind.Conflict, "slice %s is in group %s already", s, m.to)
		}
		p := m.partFor(o.group, o.epoch.Claim())
		p.releases = append(p.releases, lease.Release{Slice: s, Prior: info.Assignment})
	}
	for _, s := range m.slices {
		c.moves[s] = m
	}
	return nil
}

// abandonMove makes this daemon serve the slices again, unless the release has
// started.
func (c *Controller) abandonMove(m *move) {
	m.abandoned.Store(true)
	c.NotifyTableChanged()
}

// dropEndedMoves removes the moves that were abandoned before their release,
// and the moves of slices that the table shows as reassigned. It runs in the
// loop.
func (c *Controller) dropEndedMoves() {
	for _, m := range c.moves {
		if m.abandoned.Load() && !m.releasing {
			c.forgetMoves(m.allReleases())
			continue
		}
		for _, r := range m.allReleases() {
			if m.releasing && c.isReassigned(r) {
				delete(c.moves, r.Slice)
			}
		}
	}
}

func (c *Controller) forgetMoves(releases []lease.Release) {
	for _, r := range releases {
		delete(c.moves, r.Slice)
	}
}

// drainAndTransfer waits until no request is in flight on the slices, and
// transfers their idempotency records to the receiver. The transfer is skipped
// if this daemon holds the receiving group too.
func (c *Controller) drainAndTransfer(ctx context.Context, m *move) error {
	for _, s := range m.slices {
		if err := c.inFlight.waitIdle(ctx, s); err != nil {
			return errkind.New(errkind.DeadlineBeforeStart, "move: requests in flight on %s: %w", s, err)
		}
	}
	if m.receiver == c.self {
		return nil
	}
	messages, err := c.exportRecords(m)
	if err != nil {
		return err
	}
	return c.transferRecords(ctx, m, messages)
}

// releaseSlices releases the slices at the witnesses and waits until a majority
// has confirmed the release of every part.
func (c *Controller) releaseSlices(ctx context.Context, m *move) error {
	if err := c.runInLoop(ctx, m, (*Controller).startRelease); err != nil {
		c.abandonMove(m)
		return err
	}
	select {
	case err := <-m.releaseResult.C():
		return err
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "move: release not confirmed: %w", ctx.Err())
	}
}

// startRelease checks that the leases are still valid and starts the release.
// From here on only the log decides who owns the slices. It runs in the loop.
func (c *Controller) startRelease(m *move) error {
	now := c.clock.Now()
	if m.abandoned.Load() {
		return errkind.New(errkind.Canceled, "move: abandoned by its caller")
	}
	for _, p := range m.parts {
		claim, _, ok := c.node.ValidLease(now, p.group)
		if !ok || claim != p.claim || c.groups[p.group] == nil {
			return errkind.New(errkind.LeaseLapsed, "move: the lease on %s has lapsed", p.group)
		}
	}
	m.releasing = true
	for _, p := range m.parts {
		for _, r := range p.releases {
			c.groups[p.group].releasedSlices[r.Slice] = r.Prior
		}
		var cmds []lease.Command
		p.releaseSeq, cmds = c.node.ReleaseSlices(now, p.group, p.releases)
		c.execute(cmds)
	}
	return nil
}

// onReleaseDone requests the assignment of slices after a majority of the
// witnesses of their group has confirmed the release.
func (c *Controller) onReleaseDone(r *lease.ReleaseDone) {
	for _, m := range c.moves {
		for _, p := range m.parts {
			if p.group == r.Group && p.releaseSeq == r.Seq && !p.confirmed {
				c.requestAssignment(m, p)
				return
			}
		}
	}
}

// requestAssignment queues the assignment records of a part whose release is
// confirmed. The release of the move succeeds when all parts are confirmed.
func (c *Controller) requestAssignment(m *move, p *movePart) {
	p.confirmed = true
	for _, r := range p.releases {
		c.unrecorded.destinations[r] = destination{group: m.to}
	}
	c.Log.Info("slices_released", zap.Int("slices", len(p.releases)), zap.Stringer("to", m.to))
	if !slices.ContainsFunc(m.parts, func(p *movePart) bool { return !p.confirmed }) {
		m.releaseResult.Put(context.Background(), nil)
	}
}

// failReleases ends the moves of slices that were closed or released under an
// older claim on the group. The witnesses have reported the releases they know of
// to the new claim, which records them anew.
func (c *Controller) failReleases(group ident.Member, claim ident.Claim) {
	for _, m := range c.moves {
		for _, p := range m.parts {
			if p.group != group || p.claim == claim {
				continue
			}
			c.forgetMoves(p.releases)
			m.releaseResult.Put(context.Background(), errkind.New(errkind.LeaseLapsed, "move: the lease on %s has lapsed", group))
		}
	}
}

// awaitAssignment waits until the table shows a new assignment of every slice.
// It returns an error if a slice was assigned to a group other than m.to.
func (c *Controller) awaitAssignment(ctx context.Context, m *move) error {
	for _, r := range m.allReleases() {
		if err := c.awaitReassigned(ctx, r); err != nil {
			return err
		}
		info, _ := c.table.Slice(r.Slice)
		if info.Assignment == r.Prior+1 && info.Group != m.to {
			return errkind.New(errkind.Conflict, "move: %s was assigned to %s", r.Slice, info.Group)
		}
	}
	return nil
}

// awaitReassigned waits until the table shows a later assignment of the
// released slice.
func (c *Controller) awaitReassigned(ctx context.Context, r lease.Release) error {
	for {
		changed := c.view.Load().changed
		if c.isReassigned(r) {
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
