package keyrange

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Write is a request to append Table on the condition that the stream ends at
// Offset. The caller reports the result with Agent.ApplyOutcome.
type Write struct {
	Offset ident.Offset
	Table  Table
	Reason string // written to the log
}

// ApplyRead applies a read of the table that was sent and answered at the given
// instants; next was the end of the stream. It ignores a read that is older than
// the known table. A read that shows no suspicion against this daemon renews the
// lease from the instant it was sent.
func (a *Agent) ApplyRead(t Table, next ident.Offset, sent, answered ident.Instant) {
	if a.tableKnown && next < a.nextOffset {
		return
	}
	a.replaceTable(t, next, answered)
	if !t.IsSuspected(a.member) && sent > a.confirmedAt {
		a.confirmedAt = sent
	}
}

// ApplyPublished applies a table that another daemon wrote and published, so that
// a receiver of keys learns of them without the store. It does not renew the
// lease, because only a read shows that a table was the newest at some instant. An
// agent that has not read the table yet ignores it.
func (a *Agent) ApplyPublished(t Table, next ident.Offset, now ident.Instant) {
	if a.tableKnown && next > a.nextOffset {
		a.replaceTable(t, next, now)
	}
}

// replaceTable replaces the known table by the same or a newer one.
func (a *Agent) replaceTable(t Table, next ident.Offset, now ident.Instant) {
	if gained := t.KeyCount(a.member.Host) > a.table.KeyCount(a.member.Host); gained {
		a.nextBalanceAt = max(a.nextBalanceAt, now.Add(a.cfg.BalanceCooldown))
	}
	a.enterTable(t, next.Era(), now)
	a.recordLosses(t, next)
	a.table, a.nextOffset, a.tableKnown, a.tableStale = t, next, true, false
	if next > a.unclearOffset {
		a.writeUnclear = false // the write was appended, or never will be
	}
	a.recordSuspicions(now)
}

// recordSuspicions records when the agent first saw each suspicion of the table.
// The wait for a takeover starts again if a process objects and is suspected again.
func (a *Agent) recordSuspicions(now ident.Instant) {
	for s := range a.suspicionSeenAt {
		if !slices.Contains(a.table.Suspects, s) {
			delete(a.suspicionSeenAt, s)
			if _, silent := a.silentSince[s.Member.Host]; silent {
				a.objections[s.Member.Host]++
				a.silentSince[s.Member.Host] = now
			}
		}
	}
	for _, s := range a.table.Suspects {
		if _, ok := a.suspicionSeenAt[s]; !ok {
			a.suspicionSeenAt[s] = now
		}
	}
}

// ApplyUnchangedRead applies a read that found the known table unchanged.
func (a *Agent) ApplyUnchangedRead(next ident.Offset, sent, answered ident.Instant) {
	if a.tableKnown {
		a.ApplyRead(a.table, next, sent, answered)
	}
}

// Outcome is what the caller knows of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Written Outcome = iota
	Refused         // the write was not appended and never will be
	Unclear         // the write may have been appended, or may still be
)

// ApplyOutcome applies the outcome of a write. An unclear write stays unclear
// until a read shows the record at its offset; a refusal of a later write at the
// same offset does not settle it.
func (a *Agent) ApplyOutcome(w Write, o Outcome, sent, answered ident.Instant) {
	a.writeInFlight = false
	switch o {
	case Written:
		a.refusals = 0
		a.ApplyRead(w.Table, w.Offset+1, sent, answered)
	case Unclear:
		a.writeUnclear, a.unclearOffset = true, w.Offset
	case Refused:
		a.tableStale = true
		a.refusals++
		a.nextWriteAt = answered.Add(a.refusalDelay())
	}
}

// Limits of the delay after refused writes.
const (
	refusalStep        = 100 * time.Millisecond // about the time from a write to its arrival at the other writers
	maxRefusalDoubling = 4
)

// refusalDelay returns how long this agent waits after refused writes before it writes a
// change that can wait. All writers of a service replace the same record: if each wrote
// again at once, most of them would be refused again. The delay is spread by a hash, so
// that the decision depends on the state only.
func (a *Agent) refusalDelay() time.Duration {
	spread := refusalStep << min(a.refusals, maxRefusalDoubling)
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d %d", a.member.Host, a.nextOffset, a.refusals) // never fails
	return time.Duration(h.Sum64() % uint64(spread))
}

// remainingLease returns how long grants may still be valid: UnsupportedLease from
// the last read of the table, or up to Lease from that read while a majority of
// the witnesses supports this daemon. Tables without witnesses use Lease alone.
// The result is zero or negative when the lease has expired.
func (a *Agent) remainingLease(now ident.Instant) time.Duration {
	if a.confirmedAt == 0 {
		return 0
	}
	lease := a.confirmedAt.Add(a.cfg.Lease)
	if len(a.table.Witnesses) == 0 {
		return lease.Sub(now)
	}
	supported := min(a.supportEnd(), lease)
	return max(a.confirmedAt.Add(a.cfg.UnsupportedLease), supported).Sub(now)
}

// TableIsCurrent reports whether the last read of the table is recent enough to
// cover grants without support.
func (a *Agent) TableIsCurrent(now ident.Instant) bool {
	return a.confirmedAt > 0 && now.Sub(a.confirmedAt) < a.cfg.UnsupportedLease
}
