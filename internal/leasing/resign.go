package leasing

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// ResignGroups gives up the groups that this daemon holds without using the
// log, before the daemon stops. For each group it waits for the requests in
// flight, transfers the idempotency records to the first successor, and
// resigns, so that the witnesses offer the group to a successor at once. After
// an error in a group, this daemon serves the group's slices again, and the
// remaining groups are not resigned.
func (c *Controller) ResignGroups(ctx context.Context) error {
	for id := range c.view.Load().leaseUntil {
		if err := c.resignGroup(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) resignGroup(ctx context.Context, id ident.Member) error {
	m, err := c.newResignation(id)
	if err != nil {
		return err
	}
	if err := c.transferAndResign(ctx, m); err != nil {
		c.abandonMove(m)
		return err
	}
	return nil
}

// transferAndResign closes the slices, transfers their idempotency records, and
// resigns the group.
func (c *Controller) transferAndResign(ctx context.Context, m *move) error {
	if err := c.runInLoop(ctx, m, (*Controller).closeSlices); err != nil {
		return err
	}
	if err := c.drainAndTransfer(ctx, m); err != nil {
		return err
	}
	return c.runInLoop(ctx, m, (*Controller).resignInLoop)
}

// newResignation returns a move of all open slices of the group to its first
// other successor. The slices stay in the group.
func (c *Controller) newResignation(id ident.Member) (*move, error) {
	g, _ := c.table.Group(id)
	receiver := firstOther(g.Successors, c.self)
	if receiver.IsZero() {
		return nil, errkind.New(errkind.Conflict, "group %s has no other successor", id)
	}
	var list []ident.Slice
	for s, o := range c.view.Load().openSlices {
		if o.group == id {
			list = append(list, s)
		}
	}
	return &move{
		to:       id,
		receiver: receiver,
		slices:   list,
		acks:     duty.NewRing[lease.Release](len(list)+1, duty.DropOldest),
	}, nil
}

// firstOther returns the first member other than self, or the zero member.
func firstOther(list []ident.Member, self ident.Member) ident.Member {
	for _, m := range list {
		if m != self {
			return m
		}
	}
	return ident.Member{}
}

// resignInLoop resigns the group at the witnesses; it runs in the loop. It
// refuses if a slice of the group was opened after closeSlices, since that
// slice may have requests in flight.
func (c *Controller) resignInLoop(m *move) error {
	if m.abandoned.Load() {
		return errkind.New(errkind.Canceled, "resignation of %s: abandoned by its caller", m.to)
	}
	for s, o := range c.view.Load().openSlices {
		if o.group == m.to {
			return errkind.New(errkind.Conflict, "resignation of %s: slice %s was opened in the meantime", m.to, s)
		}
	}
	c.forgetMoves(m.allReleases())
	c.execute(c.node.ResignGroup(c.clock.Now(), m.to))
	return nil
}
