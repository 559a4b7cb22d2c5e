package leasing

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// ResignGroups gives the groups held here away without the log, for a daemon that
// ends: requests in flight end, the first successor gets the idempotency
// records, and the witnesses offer the groups at once. After an error in a group
// its slices are served here again.
func (c *Controller) ResignGroups(ctx context.Context) error {
	for id := range c.view.Load().until {
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
	if err := c.handOver(ctx, m); err != nil {
		c.giveUp(m)
		return err
	}
	return nil
}

func (c *Controller) handOver(ctx context.Context, m *move) error {
	if err := c.ask(ctx, m, (*Controller).closeSlices); err != nil {
		return err
	}
	if err := c.prepare(ctx, m); err != nil {
		return err
	}
	return c.ask(ctx, m, (*Controller).resign)
}

// newResignation is a move of the whole group to its first successor, which
// keeps the group.
func (c *Controller) newResignation(id ident.Member) (*move, error) {
	g, _ := c.table.Group(id)
	receiver := firstOther(g.Successors, c.self)
	if receiver.IsZero() {
		return nil, errkind.New(errkind.Conflict, "group %s has no other successor", id)
	}
	var list []ident.Slice
	for s, o := range c.view.Load().open {
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

func firstOther(list []ident.Member, self ident.Member) ident.Member {
	for _, m := range list {
		if m != self {
			return m
		}
	}
	return ident.Member{}
}

// resign runs in the loop. A slice that came to the group since it was closed
// has no request in flight either, or the resignation is refused.
func (c *Controller) resign(m *move) error {
	if m.abandoned.Load() {
		return errkind.New(errkind.Canceled, "resignation of %s: given up", m.to)
	}
	for s, o := range c.view.Load().open {
		if o.group == m.to {
			return errkind.New(errkind.Conflict, "resignation of %s: slice %s has come to it", m.to, s)
		}
	}
	c.forget(m.items())
	c.execute(c.node.ResignGroup(c.clock.Now(), m.to))
	return nil
}
