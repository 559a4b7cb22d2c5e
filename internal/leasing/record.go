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

// unrecordedReleases holds the released slices whose new assignment is not yet
// in the table.
type unrecordedReleases struct {
	destinations map[lease.Release]destination
	writing      bool // a record job is queued or running
}

// destination is the group that a released slice is assigned to.
type destination struct {
	group   ident.Member
	retryAt ident.Instant // earliest time of the next attempt to record the assignment
}

func newUnrecordedReleases() unrecordedReleases {
	return unrecordedReleases{destinations: map[lease.Release]destination{}}
}

// addReclaimed adds a slice that a previous holder released without a recorded
// assignment. The slice is assigned to its own group anew, which makes a late
// record of the previous holder void.
func (s *unrecordedReleases) addReclaimed(r lease.Release, group ident.Member) {
	if _, known := s.destinations[r]; !known {
		s.destinations[r] = destination{group: group}
	}
}

// recordJob holds records to append to the log.
type recordJob struct{ bodies []record.Body }

// recordResult is the outcome of a recordJob.
type recordResult struct{ err error }

// requestRecords queues the claims and assignments that are due as a record
// job, unless a job is queued or running already.
func (c *Controller) requestRecords(ctx context.Context, now ident.Instant) {
	s := &c.unrecorded
	maps.DeleteFunc(s.destinations, func(r lease.Release, _ destination) bool { return c.isReassigned(r) })
	if s.writing {
		return
	}
	bodies := append(c.dueClaims(now), c.dueAssignments(now)...)
	if len(bodies) == 0 {
		return
	}
	s.writing = true
	c.recordJobs.Put(ctx, recordJob{bodies: bodies})
}

// dueClaims returns records for the claims that this daemon holds and the log
// does not contain.
func (c *Controller) dueClaims(now ident.Instant) []record.Body {
	var out []record.Body
	for id, g := range c.groups {
		g.recorded = g.recorded || c.claimRecorded(id, g.claim)
		if !g.recorded && !now.Before(g.recordRetryAt) {
			g.recordRetryAt = now.Add(c.config.RetryEvery)
			out = append(out, &record.GroupClaimed{Group: id, Claimant: c.self, Claim: g.claim})
		}
	}
	return out
}

// dueAssignments returns records for the assignments of released slices, one
// record per destination group.
func (c *Controller) dueAssignments(now ident.Instant) []record.Body {
	byGroup := map[ident.Member]*record.Assigned{}
	for r, to := range c.unrecorded.destinations {
		if now.Before(to.retryAt) {
			continue
		}
		c.unrecorded.destinations[r] = destination{group: to.group, retryAt: now.Add(c.config.RetryEvery)}
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

// writeRecords runs record jobs until ctx ends.
func (c *Controller) writeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-c.recordJobs.C():
			c.recordResults.Put(ctx, recordResult{err: c.appendRecords(ctx, job)})
		}
	}
}

// appendRecords appends the records of a job to the log within RecordTimeout.
func (c *Controller) appendRecords(ctx context.Context, job recordJob) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.RecordTimeout)
	defer cancel()
	return c.Recorder.Record(ctx, job.bodies...)
}

// onRecordResult handles the outcome of a record job. After a failure, groups
// no longer wait for the log to open. Records that the table does not show are
// appended again.
func (c *Controller) onRecordResult(r recordResult) {
	now := c.clock.Now()
	c.unrecorded.writing = false
	if r.err == nil {
		c.onTableChange()
		return
	}
	c.Log.Warn("ownership_not_recorded", zap.Error(r.err))
	for _, g := range c.groups {
		g.openDeadline = min(g.openDeadline, now)
	}
}
