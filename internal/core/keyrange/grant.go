package keyrange

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// HeldRange is a range that a server reports as held, or as still in use by
// running requests.
type HeldRange struct {
	Span
	Fence uint64
}

// ReleasedRange is a range that a server released, with the transfer token for the
// next holder.
type ReleasedRange struct {
	Span
	TransferToken string
}

// Heartbeat is a heartbeat of the backend server beside the daemon.
type Heartbeat struct {
	Instance roster.Instance
	Adoption uint64 // number of instances that the daemon had adopted up to this one
	Sequence int64
	Draining bool
	Held     []HeldRange
	Released []ReleasedRange
}

// Grant lists the rows that a server may hold from its heartbeat on. A nil Grant
// extends nothing.
type Grant struct {
	Rows []Row
	Hold time.Duration // the server counts it from the time it sent the heartbeat
}

// grantRecord is a range that the server was granted.
type grantRecord struct {
	Span
	sequence int64 // of the last heartbeat whose answer granted the range
}

// HandleHeartbeat updates the state of the server and returns the grant for the
// answer. It returns nil if the heartbeat is from an earlier instance or out of
// order, or if the lease has expired. An instance of an earlier adoption is an earlier one;
// within an adoption the start decides.
func (a *Agent) HandleHeartbeat(b Heartbeat, now ident.Instant) *Grant {
	switch {
	case b.Adoption < a.adoption:
		return nil
	case b.Adoption > a.adoption:
		a.adoptInstance(b)
	case b.Instance != a.instance:
		if b.Instance.StartedMS < a.instance.StartedMS {
			return nil
		}
		a.adoptInstance(b)
	case b.Sequence <= a.lastSequence:
		return nil
	}
	a.serverLost, a.heartbeatAt, a.lastSequence, a.heldRanges = false, now, b.Sequence, b.Held
	a.inherited.recordHeld(b.Held, now)
	a.calls.disconnected = false
	a.ready, a.draining = !b.Draining, b.Draining
	a.recordReleased(b.Released...)
	if a.mode == GrantByCall {
		return nil
	}
	return a.buildGrant(b.Sequence, now)
}

// adoptInstance switches to the instance of a heartbeat, which has received no grant in this
// adoption. The heartbeat does not prove that the previous instance has ended: its grants count
// until they expire. Calls name no start time, so that one sent before the first heartbeat of
// an instance that restarted under its id may have reached that instance: such grants count
// until they expire, too.
func (a *Agent) adoptInstance(b Heartbeat) {
	if a.instance != (roster.Instance{}) {
		a.formerGrantsEnd = a.grantsEnd
	}
	a.instance, a.adoption, a.lastSequence = b.Instance, b.Adoption, 0
	a.grantRecords, a.released, a.heldRanges = nil, nil, nil
	if !a.writeInFlight && !a.writeUnclear {
		a.handoffs = nil // else they may have been written, to receivers that hold their keys
	}
	a.inherited.reported = nil
	a.calls.releases, a.calls.fenced, a.calls.retryAt = nil, nil, 0
	for i := range a.calls.grants {
		a.calls.grants[i].status = callUnclear
	}
}

// recordReleased keeps the transfer tokens of released ranges, the newest ones if
// there are too many.
func (a *Agent) recordReleased(rs ...ReleasedRange) {
	a.released = append(a.released, rs...)
	if extra := len(a.released) - maxReleasedRecords; extra > 0 {
		a.released = a.released[extra:]
	}
}

// buildGrant returns the rows that the server may hold, or nil if the lease has
// expired.
func (a *Agent) buildGrant(sequence int64, now ident.Instant) *Grant {
	left := a.remainingLease(now)
	hold := min(a.cfg.MaxHold, left-left*time.Duration(a.cfg.DriftPerMille)/1000)
	if !a.tableKnown || hold <= 0 {
		return nil
	}
	g := &Grant{Rows: a.wantedRows(now), Hold: hold}
	for i := range a.handoffs {
		a.handoffs[i].omittedFromGrant = true
	}
	for _, r := range g.Rows {
		a.grantRecords = recordGrant(a.grantRecords, r.Span, sequence)
	}
	if len(g.Rows) > 0 {
		a.grantsEnd = max(a.grantsEnd, now.Add(a.cfg.withDrift(hold)))
	}
	return g
}

// retainedRows returns the parts of a row of this daemon that are not being handed
// off.
func (a *Agent) retainedRows(r Row) []Row {
	parts := a.withoutHandoffs(r.Span)
	rows := make([]Row, 0, len(parts))
	for _, p := range parts {
		part := r
		part.Span = p
		rows = append(rows, part)
	}
	return rows
}

// recordGrant replaces the records of a span by one for a newer grant.
func recordGrant(records []grantRecord, s Span, sequence int64) []grantRecord {
	var out []grantRecord
	for _, n := range records {
		for _, rest := range n.Span.subtract(s) {
			out = append(out, grantRecord{rest, n.sequence})
		}
	}
	return append(out, grantRecord{s, sequence})
}

// ServerLost records that the server is unreachable or has signed off. The server
// may still hold what it was granted: a refused connection does not prove that its
// process has ended.
func (a *Agent) ServerLost() { a.serverLost, a.ready = true, false }

// ServerDraining records that the server will stop soon, as a heartbeat of a draining
// server does.
func (a *Agent) ServerDraining() { a.draining, a.ready = true, false }

// isReleased reports whether the server certainly holds no key of a span and will
// not hold one without another grant. That is so if every grant has expired, or if
// the server omitted the span from a heartbeat that it sent after the last answer
// that granted a key of it. An answer of the daemon's previous process counts too, and so does
// one to an instance that was adopted before the present one.
func (a *Agent) isReleased(s Span, now ident.Instant) bool {
	if now > a.grantsEnd {
		return true
	}
	if a.mode == GrantByCall {
		return a.isReleasedByCall(s, now)
	}
	if now <= a.formerGrantsEnd || !a.inherited.precede(s, a.table, now) {
		return false
	}
	for _, h := range a.heldRanges {
		if h.Overlaps(s) {
			return false
		}
	}
	for _, n := range a.grantRecords {
		if n.Overlaps(s) && n.sequence >= a.lastSequence {
			return false
		}
	}
	return true
}

// MayHold reports whether the server may hold a key now, according to the grants
// of this daemon.
func (a *Agent) MayHold(k Key, now ident.Instant) bool {
	r, ok := a.table.Find(k)
	if !ok || r.Owner != a.selfOwner() || now > a.grantsEnd {
		return false
	}
	if a.mode == GrantByCall {
		return a.holdsByCall(k, r.Fence, now)
	}
	for _, g := range a.handoffs {
		if g.omittedFromGrant && g.Contains(k) {
			return false
		}
	}
	for _, h := range a.heldRanges {
		if h.Contains(k) && h.Fence == r.Fence {
			return true
		}
	}
	for _, n := range a.grantRecords {
		if n.Contains(k) {
			return true
		}
	}
	return false
}

// transferToken returns the token that the server gave out when it released the
// span, or an empty string.
func (a *Agent) transferToken(s Span) string {
	for i := len(a.released) - 1; i >= 0; i-- {
		if a.released[i].Covers(s) {
			return a.released[i].TransferToken
		}
	}
	return ""
}
