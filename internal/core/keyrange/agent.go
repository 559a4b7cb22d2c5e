package keyrange

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Config sets the times of an agent. All daemons of a service use the same Lease
// and DriftPerMille.
type Config struct {
	Lease            time.Duration // a read of the table covers grants this long with the guards' support
	UnsupportedLease time.Duration // a read of the table covers grants this long without it
	SupportDuration  time.Duration // a guard's support lasts this long
	MaxHold          time.Duration // longest hold of a grant
	DriftPerMille    int           // bound of the drift of clocks, in 1/1000
	SuspectAfter     time.Duration // silence of an owner after which it is suspected
	StartupDelay     time.Duration // time after the start before keys without owner are given out
	RankDelay        time.Duration // delay between the planners, by rank
	BalanceInterval  time.Duration // least time between two looks at the balance

	// BalanceCooldown is the time after a move for balance, at its giver and its
	// receiver, in which neither gives keys away: the requests that waited for the
	// move say nothing about the load that will be.
	BalanceCooldown time.Duration
}

// Candidate is a backend server of the service that may own keys.
type Candidate struct {
	Owner       Owner
	Ready       bool    // takes new work, and its daemon reads the table without delay
	Alive       bool    // its daemon was heard of lately
	Slots       int     // requests that it runs at once
	Utilization float64 // slots in use and waiting requests over slots
}

// HeldRange is a row that a server says it holds or still works on.
type HeldRange struct {
	Span
	Fence uint64
}

// ReleasedRange is a range that a server released, with what the next holder gets.
type ReleasedRange struct {
	Span
	TransferToken string
}

// Heartbeat is one heartbeat of the server beside the daemon.
type Heartbeat struct {
	Instance roster.Instance
	Sequence int64
	Draining bool
	Held     []HeldRange
	Released []ReleasedRange
}

// Grant is what a server is to hold from a heartbeat on. A nil Grant renews
// nothing.
type Grant struct {
	Rows []Row
	Hold time.Duration // counted by the server from when it sent its heartbeat
}

// Write asks for an append of the table on the condition that the stream ends at
// the offset. Its outcome is told by Wrote.
type Write struct {
	Offset ident.Offset
	Table  Table
	Reason string // for the log
}

// gift is a range that the agent wants another server to have. It is a part of the
// own row with the fence, and ends with it: keys that were given and came back have
// another fence.
type gift struct {
	Span
	fence   uint64
	to      Owner
	omitted bool // a grant has left it out
}

// grantNote remembers a range in the last grants.
type grantNote struct {
	Span
	sequence int64 // of the last heartbeat whose answer granted it
}

// Agent holds the decisions of one daemon about one service. It is not safe for
// concurrent use.
type Agent struct {
	cfg     Config
	member  ident.Member
	started ident.Instant

	table     Table
	next      ident.Offset  // end of the stream when the table was read
	known     bool          // the table was read
	confirmed ident.Instant // the table was the newest at this instant
	inFlight  bool          // a write was sent and not answered
	unclear   bool          // a write at unclearAt may be appended, or may have been
	unclearAt ident.Offset
	stale     bool // a write was refused: the table has to be read again first

	life      roster.Instance // the server's current life; zero before its first heartbeat
	ready     bool
	draining  bool
	lost      bool            // the server cannot be reached, or took its leave
	beatAt    ident.Instant   // last heartbeat accepted
	sequence  int64           // of the last heartbeat
	held      []HeldRange     // by the last heartbeat
	freed     []ReleasedRange // released and not yet given on
	granted   []grantNote     // ranges that the current life may hold
	holdEnds  ident.Instant   // no grant sent so far is good after it
	gifts     []gift
	seen      map[Suspicion]ident.Instant  // when a suspicion in the table was first read
	silent    map[ident.Host]ident.Instant // owners that are not alive, since when
	guard     guard
	gapSince  ident.Instant
	balanceAt ident.Instant
	load      load
}

// NewAgent returns the agent of a daemon's process, which granted nothing yet.
// Grants of its predecessor may still run.
func NewAgent(cfg Config, m ident.Member, now ident.Instant) *Agent {
	return &Agent{
		cfg:      cfg,
		member:   m,
		started:  now,
		holdEnds: now.Add(cfg.stretched(cfg.MaxHold)),
		seen:     make(map[Suspicion]ident.Instant),
		silent:   make(map[ident.Host]ident.Instant),
		guard:    newGuard(),
	}
}

// stretched is how long another clock may take to count d.
func (c Config) stretched(d time.Duration) time.Duration {
	return d + d*time.Duration(c.DriftPerMille)/1000 + time.Millisecond
}

// Table returns the table as last read.
func (a *Agent) Table() (Table, bool) { return a.table, a.known }

// Instance returns the life of the server beside the daemon.
func (a *Agent) Instance() (roster.Instance, bool) { return a.life, a.life != roster.Instance{} }

// ApplyRead takes in the table of a read that was sent at one instant and answered at
// another; next is the end of the stream then. A read from before what is known
// is ignored.
func (a *Agent) ApplyRead(t Table, next ident.Offset, sent, answered ident.Instant) {
	if a.known && next < a.next {
		return
	}
	a.take(t, next, answered)
	if !t.IsSuspected(a.member) && sent > a.confirmed {
		a.confirmed = sent
	}
}

// ApplyPublished takes in a table that another daemon has written, so that a receiver of keys
// learns of them without the store. It prolongs no lease: that the table was the
// newest at some instant is known of a read only. An agent that has read nothing
// yet ignores it.
func (a *Agent) ApplyPublished(t Table, next ident.Offset, now ident.Instant) {
	if a.known && next > a.next {
		a.take(t, next, now)
	}
}

// take replaces the table by a newer one, or by the same.
func (a *Agent) take(t Table, next ident.Offset, now ident.Instant) {
	if gained := t.KeyCount(a.member.Host) > a.table.KeyCount(a.member.Host); gained {
		a.balanceAt = max(a.balanceAt, now.Add(a.cfg.BalanceCooldown))
	}
	a.noteLosses(t, next)
	a.table, a.next, a.known, a.stale = t, next, true, false
	if next > a.unclearAt {
		a.unclear = false // it was appended, or never will be
	}
	a.noteSuspicions(now)
}

// noteSuspicions remembers from when on each suspicion was certainly to be read. A
// process that is suspected again after it objected is waited for anew.
func (a *Agent) noteSuspicions(now ident.Instant) {
	for s := range a.seen {
		if !slices.Contains(a.table.Suspects, s) {
			delete(a.seen, s)
		}
	}
	for _, s := range a.table.Suspects {
		if _, ok := a.seen[s]; !ok {
			a.seen[s] = now
		}
	}
}

// ApplyUnchangedRead takes in a read that found no other table than the one known.
func (a *Agent) ApplyUnchangedRead(next ident.Offset, sent, answered ident.Instant) {
	if a.known {
		a.ApplyRead(a.table, next, sent, answered)
	}
}

// Outcome is what is known of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Written Outcome = iota
	Refused         // certainly not written, now or later
	Unclear         // may be written, perhaps later
)

// ApplyOutcome takes in the outcome of a write. An unclear one stays so until a read
// shows what stands at its offset; that a later write at the same offset was
// refused says nothing about it.
func (a *Agent) ApplyOutcome(w Write, o Outcome, sent, answered ident.Instant) {
	a.inFlight = false
	switch o {
	case Written:
		a.ApplyRead(w.Table, w.Offset+1, sent, answered)
	case Unclear:
		a.unclear, a.unclearAt = true, w.Offset
	case Refused:
		a.stale = true
	}
}

// leaseLeft is how long grants may still run: for Confirm after a read of the
// table, and until Lease after it while a majority of the guards supports this
// daemon. It is negative after the lease.
func (a *Agent) leaseLeft(now ident.Instant) time.Duration {
	if a.confirmed == 0 {
		return 0
	}
	lease := a.confirmed.Add(a.cfg.Lease)
	if len(a.table.Witnesses) == 0 {
		return lease.Sub(now)
	}
	supported := min(a.supportedUntil(), lease)
	return max(a.confirmed.Add(a.cfg.UnsupportedLease), supported).Sub(now)
}

// TableIsCurrent reports whether the table was read so lately that it alone covers
// grants.
func (a *Agent) TableIsCurrent(now ident.Instant) bool {
	return a.confirmed > 0 && now.Sub(a.confirmed) < a.cfg.UnsupportedLease
}

// self is the owner that rows of this daemon name.
func (a *Agent) self() Owner { return Owner{a.member, a.life} }

// HandleHeartbeat takes in a heartbeat and returns what the server is to hold. A heartbeat
// of an earlier life, or out of order, renews nothing.
func (a *Agent) HandleHeartbeat(b Heartbeat, now ident.Instant) *Grant {
	if b.Instance != a.life {
		if b.Instance.StartedMS < a.life.StartedMS {
			return nil
		}
		a.adopt(b.Instance)
	} else if b.Sequence <= a.sequence {
		return nil
	}
	a.lost, a.beatAt, a.sequence, a.held = false, now, b.Sequence, b.Held
	a.ready, a.draining = !b.Draining, b.Draining
	a.freed = append(a.freed, b.Released...)
	return a.grant(b.Sequence, now)
}

// adopt starts with a new life of the server, which holds nothing. The former
// one has ended, and its grants with it.
func (a *Agent) adopt(l roster.Instance) {
	a.life, a.sequence = l, 0
	a.granted, a.freed, a.held, a.gifts = nil, nil, nil, nil
}

// grant returns the rows that the server is to hold, nil when the lease is over.
func (a *Agent) grant(sequence int64, now ident.Instant) *Grant {
	left := a.leaseLeft(now)
	hold := min(a.cfg.MaxHold, left-left*time.Duration(a.cfg.DriftPerMille)/1000)
	if !a.known || hold <= 0 {
		return nil
	}
	g := &Grant{Hold: hold}
	for _, r := range a.table.Rows {
		if r.Owner == a.self() {
			g.Rows = append(g.Rows, a.kept(r)...)
		}
	}
	for i := range a.gifts {
		a.gifts[i].omitted = true
	}
	for _, r := range g.Rows {
		a.granted = note(a.granted, r.Span, sequence)
	}
	if len(g.Rows) > 0 {
		a.holdEnds = max(a.holdEnds, now.Add(a.cfg.stretched(hold)))
	}
	return g
}

// kept returns the parts of an own row that are not given away.
func (a *Agent) kept(r Row) []Row {
	parts := []Span{r.Span}
	for _, g := range a.gifts {
		var rest []Span
		for _, p := range parts {
			rest = append(rest, p.without(g.Span)...)
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

// note replaces what is remembered of a span by a newer grant.
func note(notes []grantNote, s Span, sequence int64) []grantNote {
	var out []grantNote
	for _, n := range notes {
		for _, rest := range n.Span.without(s) {
			out = append(out, grantNote{rest, n.sequence})
		}
	}
	return append(out, grantNote{s, sequence})
}

// ServerLost notes that the server cannot be reached or took its leave. It may
// still hold what it was granted: a refused connection is no proof that its
// process has ended.
func (a *Agent) ServerLost() { a.lost, a.ready = true, false }

// free reports whether the server certainly does not hold any key of a span, now
// and later without another grant: every grant has run out, or a heartbeat that
// it sent after the last answer that granted a key of the span does not name one.
func (a *Agent) free(s Span, now ident.Instant) bool {
	if now > a.holdEnds {
		return true
	}
	if a.life == (roster.Instance{}) {
		return false // the grants of the process before this one may still run
	}
	for _, h := range a.held {
		if h.Overlaps(s) {
			return false
		}
	}
	for _, n := range a.granted {
		if n.Overlaps(s) && n.sequence >= a.sequence {
			return false
		}
	}
	return true
}

// MayHold reports whether the server may hold a key now as far as this daemon
// granted it.
func (a *Agent) MayHold(k Key, now ident.Instant) bool {
	r, ok := a.table.Find(k)
	if !ok || r.Owner != a.self() || now > a.holdEnds {
		return false
	}
	for _, g := range a.gifts {
		if g.omitted && g.Contains(k) {
			return false
		}
	}
	for _, h := range a.held {
		if h.Contains(k) && h.Fence == r.Fence {
			return true
		}
	}
	for _, n := range a.granted {
		if n.Contains(k) {
			return true
		}
	}
	return false
}

// handover returns what the server gave out when it released the span.
func (a *Agent) handover(s Span) string {
	for i := len(a.freed) - 1; i >= 0; i-- {
		if a.freed[i].Covers(s) {
			return a.freed[i].TransferToken
		}
	}
	return ""
}
