package leasing

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// maxMovesAtOnce limits the concurrent handoffs, each to a different group.
const maxMovesAtOnce = 4

// followMovePlan carries out the planned moves periodically until ctx ends.
func (c *Controller) followMovePlan(ctx context.Context) error {
	tick := time.NewTicker(c.config.PlanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.runPlannedMoves(ctx)
		}
	}
}

// runPlannedMoves carries out the planned moves out of groups that this daemon
// holds, one handoff per target group. It starts none while the log is
// unavailable, since no move could be recorded.
func (c *Controller) runPlannedMoves(ctx context.Context) {
	if !c.Recorder.LogAvailable() {
		return
	}
	p := pool.New().WithMaxGoroutines(maxMovesAtOnce)
	for to, list := range c.plannedSlicesByTarget() {
		p.Go(func() { c.moveAndLog(ctx, list, to) })
	}
	p.Wait()
}

// plannedSlicesByTarget returns the slices to move, by target group. It skips
// planned moves that no longer match the view.
func (c *Controller) plannedSlicesByTarget() map[ident.Member][]ident.Slice {
	v := c.view.Load()
	out := map[ident.Member][]ident.Slice{}
	for _, m := range c.Planner.PlannedMoves() {
		o, open := v.openSlices[m.Slice]
		if open && o.group == m.From && o.epoch.Assignment() == m.PriorAssignment {
			out[m.To] = append(out[m.To], m.Slice)
		}
	}
	return out
}

// moveAndLog runs one handoff under MoveTimeout and logs its outcome.
func (c *Controller) moveAndLog(ctx context.Context, list []ident.Slice, to ident.Member) {
	ctx, cancel := context.WithTimeout(ctx, c.config.MoveTimeout)
	defer cancel()
	start := c.clock.Now()
	err := c.MoveSlices(ctx, list, to)
	fields := []zap.Field{
		zap.Int("slices", len(list)),
		zap.Stringer("to", to),
		zap.Duration("took", c.clock.Now().Sub(start)),
	}
	if err != nil {
		c.Log.Warn("move_failed", append(fields, zap.Error(err))...)
		return
	}
	c.Log.Info("move_done", fields...)
}

// Drain carries out planned moves until the groups that this daemon holds
// contain no slice. The planner must already know that this daemon drains, so
// that it proposes the moves.
func (c *Controller) Drain(ctx context.Context) error {
	tick := time.NewTicker(c.config.RetryEvery)
	defer tick.Stop()
	for {
		left := c.countSlicesHeld()
		if left == 0 {
			return nil
		}
		c.runPlannedMoves(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.New(errkind.Draining, "%d slices are still here: %w", left, ctx.Err())
		}
	}
}

// countSlicesHeld returns the number of slices in the groups that this daemon
// holds.
func (c *Controller) countSlicesHeld() int {
	count := 0
	for id := range c.view.Load().leaseUntil {
		count += len(c.table.GroupSlices(id))
	}
	return count
}
