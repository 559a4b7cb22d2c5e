package keyrange

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Config sets the durations and limits of an agent. All daemons of a service must
// use the same Lease and DriftPerMille.
type Config struct {
	Lease            time.Duration // how long a read of the table covers grants while a majority of the witnesses supports the daemon
	UnsupportedLease time.Duration // how long a read of the table covers grants without that support
	SupportDuration  time.Duration // validity of a witness's support, counted from the request for it
	MaxHold          time.Duration // longest duration of a grant
	DriftPerMille    int           // bound on the drift between two clocks, in 1/1000
	SuspectAfter     time.Duration // silence of an owner after which a planner suspects it
	StartupDelay     time.Duration // wait after the agent's start before the first assignment of keys
	RankDelay        time.Duration // added delay per rank, so that planners do not act at the same time
	BalanceInterval  time.Duration // minimum time between two balance checks

	// BalanceCooldown is the time after a move for balance in which neither its giver
	// nor its receiver hands off more keys. The requests that waited during the move
	// do not predict the load after it.
	BalanceCooldown time.Duration
}

// Candidate is a backend server of the service that may own keys.
type Candidate struct {
	Owner       Owner
	Ready       bool    // accepts new requests, and its daemon reads the table without delay
	Alive       bool    // its daemon sent a sign of life recently
	Slots       int     // number of requests that the server runs at once
	Utilization float64 // (slots in use + waiting requests) / slots
}

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

// Write is a request to append Table on the condition that the stream ends at
// Offset. The caller reports the result with Agent.ApplyOutcome.
type Write struct {
	Offset ident.Offset
	Table  Table
	Reason string // written to the log
}

// handoff is a range that the agent plans to move to another server. It is part of
// a row of this daemon with the given fencing token and ends with that row: keys
// that moved away and came back have a new token.
type handoff struct {
	Span
	fence            uint64
	to               Owner
	omittedFromGrant bool // at least one grant has left the range out
}

// grantRecord is a range that the server was granted.
type grantRecord struct {
	Span
	sequence int64 // of the last heartbeat whose answer granted the range
}

// Agent makes the ownership decisions of one daemon for one service. It is not
// safe for concurrent use.
type Agent struct {
	cfg       Config
	member    ident.Member
	startedAt ident.Instant

	table         Table
	nextOffset    ident.Offset  // end of the stream when the table was read
	tableKnown    bool          // the table was read at least once
	confirmedAt   ident.Instant // the table was known to be the newest at this instant
	writeInFlight bool          // a write was sent and its outcome is not known yet
	writeUnclear  bool          // a write at unclearOffset may have been appended or may still be
	unclearOffset ident.Offset
	tableStale    bool // a write was refused: the table must be read again before the next one

	instance        roster.Instance // the server's current instance; zero before its first heartbeat
	ready           bool
	draining        bool
	serverLost      bool            // the server is unreachable or has signed off
	heartbeatAt     ident.Instant   // when the last heartbeat was accepted
	lastSequence    int64           // sequence number of the last heartbeat
	heldRanges      []HeldRange     // as reported by the last heartbeat
	released        []ReleasedRange // released by the server; kept for the transfer tokens
	grantRecords    []grantRecord   // ranges that the current instance may hold
	grantsEnd       ident.Instant   // no grant sent so far is valid after this instant
	handoffs        []handoff
	suspicionSeenAt map[Suspicion]ident.Instant  // when this agent first saw each suspicion in the table
	silentSince     map[ident.Host]ident.Instant // since when each owner that is not alive has been silent
	support         supportState
	gapSince        ident.Instant
	nextBalanceAt   ident.Instant
	load            load
}

// NewAgent returns the agent of a daemon that has just started. It assumes that
// grants of the daemon's previous process may still be valid for MaxHold.
func NewAgent(cfg Config, m ident.Member, now ident.Instant) *Agent {
	return &Agent{
		cfg:             cfg,
		member:          m,
		startedAt:       now,
		grantsEnd:       now.Add(cfg.withDrift(cfg.MaxHold)),
		suspicionSeenAt: make(map[Suspicion]ident.Instant),
		silentSince:     make(map[ident.Host]ident.Instant),
		support:         newSupportState(),
	}
}

// withDrift returns the longest time that this clock may measure while another
// clock counts d.
func (c Config) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.DriftPerMille)/1000 + time.Millisecond
}

// Table returns the last known table and whether there is one.
func (a *Agent) Table() (Table, bool) { return a.table, a.tableKnown }

// Instance returns the current instance of the server beside the daemon and
// whether there is one.
func (a *Agent) Instance() (roster.Instance, bool) {
	return a.instance, a.instance != roster.Instance{}
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
		a.ApplyRead(w.Table, w.Offset+1, sent, answered)
	case Unclear:
		a.writeUnclear, a.unclearOffset = true, w.Offset
	case Refused:
		a.tableStale = true
	}
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

// selfOwner returns the owner that stands in the rows of this daemon.
func (a *Agent) selfOwner() Owner { return Owner{a.member, a.instance} }

// HandleHeartbeat updates the state of the server and returns the grant for the
// answer. It returns nil if the heartbeat is from an earlier instance or out of
// order, or if the lease has expired.
func (a *Agent) HandleHeartbeat(b Heartbeat, now ident.Instant) *Grant {
	if b.Instance != a.instance {
		if b.Instance.StartedMS < a.instance.StartedMS {
			return nil
		}
		a.adoptInstance(b.Instance)
	} else if b.Sequence <= a.lastSequence {
		return nil
	}
	a.serverLost, a.heartbeatAt, a.lastSequence, a.heldRanges = false, now, b.Sequence, b.Held
	a.ready, a.draining = !b.Draining, b.Draining
	a.released = append(a.released, b.Released...)
	return a.buildGrant(b.Sequence, now)
}

// adoptInstance switches to a new instance of the server, which holds nothing. The
// previous instance has ended, and its grants with it.
func (a *Agent) adoptInstance(l roster.Instance) {
	a.instance, a.lastSequence = l, 0
	a.grantRecords, a.released, a.heldRanges, a.handoffs = nil, nil, nil, nil
}

// buildGrant returns the rows that the server may hold, or nil if the lease has
// expired.
func (a *Agent) buildGrant(sequence int64, now ident.Instant) *Grant {
	left := a.remainingLease(now)
	hold := min(a.cfg.MaxHold, left-left*time.Duration(a.cfg.DriftPerMille)/1000)
	if !a.tableKnown || hold <= 0 {
		return nil
	}
	g := &Grant{Hold: hold}
	for _, r := range a.table.Rows {
		if r.Owner == a.selfOwner() {
			g.Rows = append(g.Rows, a.retainedRows(r)...)
		}
	}
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
	parts := []Span{r.Span}
	for _, g := range a.handoffs {
		var rest []Span
		for _, p := range parts {
			rest = append(rest, p.subtract(g.Span)...)
		}
		parts = rest
	}
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

// isReleased reports whether the server certainly holds no key of a span and will
// not hold one without another grant. That is so if every grant has expired, or if
// the server omitted the span from a heartbeat that it sent after the last answer
// that granted a key of it.
func (a *Agent) isReleased(s Span, now ident.Instant) bool {
	if now > a.grantsEnd {
		return true
	}
	if a.instance == (roster.Instance{}) {
		return false // grants of the daemon's previous process may still be valid
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
