package leasing

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// maxMovesAtOnce bounds the handoffs to different groups that run together.
const maxMovesAtOnce = 4

// followPlan is the duty that carries out the planned moves.
func (c *Controller) followPlan(ctx context.Context) error {
	tick := time.NewTicker(c.config.PlanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.movePlanned(ctx)
		}
	}
}

// movePlanned carries out the moves that leave groups held here, one handoff a
// target group. Without the log no move can be recorded, so none is begun.
func (c *Controller) movePlanned(ctx context.Context) {
	if !c.Recorder.LogAvailable() {
		return
	}
	p := pool.New().WithMaxGoroutines(maxMovesAtOnce)
	for to, list := range c.plannedByTarget() {
		p.Go(func() { c.moveLogged(ctx, list, to) })
	}
	p.Wait()
}

func (c *Controller) plannedByTarget() map[ident.Member][]ident.Slice {
	v := c.view.Load()
	out := map[ident.Member][]ident.Slice{}
	for _, m := range c.Planner.PlannedMoves() {
		o, open := v.open[m.Slice]
		if open && o.group == m.From && o.epoch.Assignment() == m.PriorAssignment {
			out[m.To] = append(out[m.To], m.Slice)
		}
	}
	return out
}

func (c *Controller) moveLogged(ctx context.Context, list []ident.Slice, to ident.Member) {
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

// Drain waits until no slice is in a group held here. The planner has been told
// that this daemon drains, so that it proposes the moves.
func (c *Controller) Drain(ctx context.Context) error {
	tick := time.NewTicker(c.config.RetryEvery)
	defer tick.Stop()
	for {
		left := c.slicesHeld()
		if left == 0 {
			return nil
		}
		c.movePlanned(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errkind.New(errkind.Draining, "%d slices are still here: %w", left, ctx.Err())
		}
	}
}

func (c *Controller) slicesHeld() int {
	count := 0
	for id := range c.view.Load().until {
		count += len(c.table.GroupSlices(id))
	}
	return count
}
