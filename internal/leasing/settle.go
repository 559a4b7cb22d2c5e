package leasing

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// settling is the released slices whose assignment the log does not show yet.
type settling struct {
	assign map[lease.Release]destination
	busy   bool // a job is with the duty that writes
}

// destination is the group that a released slice goes to.
type destination struct {
	group   ident.Member
	retryAt ident.Instant // not written again before
}

func newSettling() settling { return settling{assign: map[lease.Release]destination{}} }

// reclaim notes a slice that a former holder released without an assignment in
// the log; it is assigned to its group anew, which makes a late record of the
// former holder void.
func (s *settling) reclaim(r lease.Release, group ident.Member) {
	if _, known := s.assign[r]; !known {
		s.assign[r] = destination{group: group}
	}
}

// settleJob is the records to be written.
type settleJob struct{ bodies []record.Body }

// settleResult is the outcome of a settleJob.
type settleResult struct{ err error }

// requestRecords hands what is due to the duty that writes.
func (c *Controller) requestRecords(ctx context.Context, now ident.Instant) {
	s := &c.settling
	maps.DeleteFunc(s.assign, func(r lease.Release, _ destination) bool { return c.isSettled(r) })
	if s.busy {
		return
	}
	bodies := append(c.dueClaims(now), c.dueAssignments(now)...)
	if len(bodies) == 0 {
		return
	}
	s.busy = true
	c.settle.Put(ctx, settleJob{bodies: bodies})
}

// dueClaims lists the claims held here that the log does not have.
func (c *Controller) dueClaims(now ident.Instant) []record.Body {
	var out []record.Body
	for id, g := range c.groups {
		g.recorded = g.recorded || c.claimRecorded(id, g.claim)
		if !g.recorded && !now.Before(g.retryAt) {
			g.retryAt = now.Add(c.config.RetryEvery)
			out = append(out, &record.GroupClaimed{Group: id, Claimant: c.self, Claim: g.claim})
		}
	}
	return out
}

// dueAssignments lists the assignments of released slices, one record a group.
func (c *Controller) dueAssignments(now ident.Instant) []record.Body {
	byGroup := map[ident.Member]*record.Assigned{}
	for r, to := range c.settling.assign {
		if now.Before(to.retryAt) {
			continue
		}
		c.settling.assign[r] = destination{group: to.group, retryAt: now.Add(c.config.RetryEvery)}
		a := byGroup[to.group]
		if a == nil {
			a = &record.Assigned{To: to.group}
			byGroup[to.group] = a
		}
		a.Moves = append(a.Moves, record.Move{Slice: r.Slice, PriorAssignment: r.Prior})
	}
	var out []record.Body
	for _, a := range byGroup {
		slices.SortFunc(a.Moves, func(x, y record.Move) int { return compareSlices(x.Slice, y.Slice) })
		out = append(out, a)
	}
	return out
}

func compareSlices(a, b ident.Slice) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// writeRecords is the duty that appends to the log.
func (c *Controller) writeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-c.settle.C():
			c.settled.Put(ctx, settleResult{err: c.write(ctx, job)})
		}
	}
}

func (c *Controller) write(ctx context.Context, job settleJob) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.RecordTimeout)
	defer cancel()
	return c.Recorder.Record(ctx, job.bodies...)
}

// onSettled opens what waited for the log, whether it answered or not; what the
// table does not show is written again.
func (c *Controller) onSettled(r settleResult) {
	now := c.clock.Now()
	c.settling.busy = false
	if r.err == nil {
		c.onTable()
		return
	}
	c.Log.Warn("ownership_not_recorded", zap.Error(r.err))
	for _, g := range c.groups {
		g.openAt = min(g.openAt, now)
	}
}
