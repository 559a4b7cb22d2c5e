package keyrange

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// A log that comes back from a copy has lost the latest tables, but not the grants that
// were made by them. The table of the new era is therefore written again from the memory
// of a daemon, which may itself lack the last changes. A row of an earlier era proves
// nothing by itself:
//
//   - An owner goes on with such a row only if it held it under an unexpired lease when it
//     saw the table of the new era, because then nobody else can have taken it over.
//   - Until all grants of the earlier era have expired, nobody else claims, hands off, takes
//     over or assigns its keys. After that it is claimed with a new fencing token, since
//     another server may have held the keys with a greater one.
//   - An owner whose row is missing in the new table adds it again by a write.
//   - A daemon that remembers a later owner of keys than the new table names does not grant
//     these keys before, whoever gives them to it.
//
// The fencing tokens of the new era are greater than all before. The table is marked as
// settled once all grants of the earlier era have expired.

// reopenState is what an agent keeps of the change to the present era of the log.
type reopenState struct {
	due       bool          // the log has no table of the present era
	dueSince  ident.Instant // since when that is known
	fromCopy  bool          // the agent's table is that of the copy, not one that it knew before
	tableEra  uint64        // era in which the known table was read
	at        ident.Offset  // Table.Reopened of the known table
	since     ident.Instant // when the agent first saw that table
	held      []Row         // rows of earlier eras that this daemon has held without interruption
	handedOff []handoff     // parts of such rows whose handoff had an unclear outcome: only its receiver may hold them as well
	heldUntil ident.Instant // end of the lease by which it held them
	contested []Span        // keys that other servers held by a later table than the one that was written again
}

// copyReopenDelay is how much longer a daemon waits that knows the table from the copy only:
// daemons that remember a later one learn of the new era within this time.
const copyReopenDelay = 2 * time.Second

// EnterEra applies a read which found that the log came back from a copy and has no table
// of its new era; next is the end of the stream. The agent goes on by its own table until its
// lease ends, and writes it again when it is due. An agent without a table uses that of
// the copy for this only. If there never was one, no keys have been assigned yet.
func (a *Agent) EnterEra(copied Table, next ident.Offset, sent, now ident.Instant) {
	if next < a.nextOffset {
		return
	}
	if len(a.table.Rows) == 0 && len(copied.Rows) == 0 {
		a.ApplyRead(Table{}, next, sent, now)
		return
	}
	if !a.reopen.due {
		a.reopen.due, a.reopen.dueSince = true, now
	}
	if !a.tableKnown {
		a.table, a.reopen.fromCopy = copied, true
	}
	a.nextOffset, a.tableStale = next, false
}

// reopenTable returns the write of the first table of the era, or nil if it is not due.
func (a *Agent) reopenTable(now ident.Instant, cs []Candidate) *Write {
	rank, ok := a.plannerRank(cs)
	wait := a.cfg.RankDelay * time.Duration(rank)
	if a.reopen.fromCopy {
		wait += copyReopenDelay
	}
	if !ok || now < a.nextWriteAt || now.Sub(a.reopen.dueSince) < wait {
		return nil
	}
	t := Table{Rows: slices.Clone(a.table.Rows), Witnesses: a.table.Witnesses, Reopened: a.nextOffset}
	return &Write{Table: t, Reason: "reopen"}
}

// enterTable updates the state when the agent is about to replace its table by t, which it
// read in an era.
func (a *Agent) enterTable(t Table, era uint64, now ident.Instant) {
	s := &a.reopen
	s.due, s.fromCopy = false, false
	switch {
	case t.Reopened == s.at:
	case t.Reopened == 0: // settled
		s.at = 0
	default:
		held, handedOff := a.heldUnderLease(now)
		*s = reopenState{
			at: t.Reopened, since: now, held: held, handedOff: handedOff, heldUntil: now.Add(max(a.remainingLease(now), 0)),
			contested: a.laterHeldByOthers(t),
		}
	}
	s.tableEra = era
}

// heldUnderLease returns the rows that this daemon may renew by its known table, if its lease
// has not expired. Those that a write of unclear outcome hands off are returned apart.
func (a *Agent) heldUnderLease(now ident.Instant) (held []Row, handedOff []handoff) {
	if !a.tableKnown || a.remainingLease(now) <= 0 {
		return nil, nil
	}
	for _, r := range a.table.Rows {
		if r.Owner.Member != a.member {
			continue
		}
		parts := a.reopen.renewableParts(r)
		if !a.writeUnclear {
			held = append(held, parts...)
			continue
		}
		for _, p := range parts {
			held = append(held, a.retainedRows(p)...)
			for _, g := range a.handoffs {
				if g.fence == p.Fence && p.Covers(g.Span) {
					handedOff = append(handedOff, g)
				}
			}
		}
	}
	return held, handedOff
}

// laterHeldByOthers returns the keys that others owned by the known table under a greater
// fencing token than in t.
func (a *Agent) laterHeldByOthers(t Table) []Span {
	if !a.tableKnown {
		return nil
	}
	var out []Span
	for _, r := range a.table.Rows {
		if r.Owner.Member == a.member {
			continue
		}
		parts := []Span{r.Span}
		for _, n := range t.Rows {
			if n.Fence >= r.Fence {
				parts = subtractAll(parts, n.Span)
			}
		}
		out = append(out, parts...)
	}
	return out
}

// withoutContested returns the parts of a row of this daemon that it may grant although the
// log came back without the latest tables.
func (a *Agent) withoutContested(r Row, now ident.Instant) []Row {
	if a.settled(now) {
		return []Row{r}
	}
	parts := []Span{r.Span}
	for _, c := range a.reopen.contested {
		parts = subtractAll(parts, c)
	}
	out := make([]Row, 0, len(parts))
	for _, p := range parts {
		part := r
		part.Span = p
		out = append(out, part)
	}
	return out
}

// settleTime is the time after which no grant of an earlier era is valid, counted from the
// first sight of the table of the present one.
func (a *Agent) settleTime() time.Duration {
	return a.cfg.CallDelay + a.cfg.withDrift(a.cfg.withDrift(a.cfg.Lease))
}

// settled reports whether all grants of earlier eras have expired.
func (a *Agent) settled(now ident.Instant) bool {
	return a.reopen.at == 0 || now.Sub(a.reopen.since) >= a.settleTime()
}

// isInherited reports whether a fencing token was given out in an earlier era than that of
// the known table.
func (s *reopenState) isInherited(fence uint64) bool {
	return ident.Offset(fence-1).Era() < s.tableEra
}

// renewableParts returns the parts of a row of this daemon that it may grant.
func (s *reopenState) renewableParts(r Row) []Row {
	if !s.isInherited(r.Fence) {
		return []Row{r}
	}
	var out []Row
	for _, h := range s.held {
		if h.Fence == r.Fence && h.Overlaps(r.Span) {
			part := r
			part.Span = h.intersect(r.Span)
			out = append(out, part)
		}
	}
	return out
}

// mayRenew reports whether this daemon may grant all of a row.
func (s *reopenState) mayRenew(r Row) bool {
	n := 0
	for _, p := range s.renewableParts(r) {
		n += p.Len()
	}
	return n == r.Len()
}

// mayHandOff reports whether this daemon may write a handoff. One whose write was unclear when
// the log came back goes to the same receiver, which is the only one that can hold its keys
// by the lost record.
func (a *Agent) mayHandOff(g handoff, now ident.Instant) bool {
	unclear := func(o handoff) bool { return o.Span == g.Span && o.fence == g.fence && o.to == g.to }
	return a.mayMove(Row{Span: g.Span, Fence: g.fence}, now) || slices.ContainsFunc(a.reopen.handedOff, unclear)
}

// mayMove reports whether this daemon may give the keys of its row a new fencing token.
func (a *Agent) mayMove(r Row, now ident.Instant) bool {
	return a.settled(now) || a.reopen.mayRenew(r)
}

// mayTakeOver reports whether the rows of an owner may be taken over once its own grants
// have expired: no other server holds their keys by a grant of an earlier era.
func (a *Agent) mayTakeOver(m ident.Member, now ident.Instant) bool {
	return a.settled(now) || !slices.ContainsFunc(a.table.Rows, func(r Row) bool {
		return r.Owner.Member == m && a.reopen.isInherited(r.Fence)
	})
}

// reclaimHeldRows returns a write that adds the rows which this daemon held when the log
// came back and which the new table gives to others, or nil. The others do not grant them
// before the lease has ended by which this daemon holds them.
func (a *Agent) reclaimHeldRows(now ident.Instant) *Write {
	if a.reopen.at == 0 || now >= a.reopen.heldUntil || !a.keepsServing(now) {
		return nil
	}
	t, changed := a.table, false
	for _, h := range a.reopen.held {
		if h.Owner != a.selfOwner() {
			continue
		}
		for _, s := range a.inheritedParts(h.Span) {
			t = t.withRow(Row{Span: s, Owner: a.selfOwner(), Fence: fenceAt(a.nextOffset)})
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return &Write{Table: t, Reason: "reclaim"}
}

// inheritedParts returns the parts of a span that have no row, or an inherited row of another
// owner.
func (a *Agent) inheritedParts(s Span) []Span {
	parts := []Span{s}
	for _, r := range a.table.Rows {
		if r.Owner == a.selfOwner() || !a.reopen.isInherited(r.Fence) {
			parts = subtractAll(parts, r.Span)
		}
	}
	return parts
}

// settle returns a write that marks the table as settled once it is, or nil.
func (a *Agent) settle(now ident.Instant, rank int) *Write {
	if a.reopen.at == 0 || now.Sub(a.reopen.since) < a.settleTime()+a.cfg.RankDelay*time.Duration(rank) {
		return nil
	}
	t := a.table
	t.Reopened = 0
	return &Write{Table: t, Reason: "settled"}
}
