package keyrange

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// maxWitnesses bounds the witnesses of a table. Of five, two may be unreachable.
const maxWitnesses = 5

// supportState is what an agent keeps as a witness of other owners, as an owner
// with support, and as a planner that collects consents.
type supportState struct {
	firstReadEnd ident.Offset                       // end of the stream at the first read of the table
	lossOffsets  map[ident.Host]ident.Offset        // end of the stream when this agent saw that a host had lost keys
	lastPromise  map[ident.Host]ident.Instant       // when this agent last granted support to a host
	supportEnds  map[ident.Host]ident.Instant       // when the support of each witness expires
	consents     map[consentKey]map[ident.Host]bool // witnesses that consented to each suspicion
}

// consentKey identifies a suspicion.
type consentKey struct {
	member ident.Member
	at     uint64
}

func newSupportState() supportState {
	return supportState{
		lossOffsets: make(map[ident.Host]ident.Offset),
		lastPromise: make(map[ident.Host]ident.Instant),
		supportEnds: make(map[ident.Host]ident.Instant),
		consents:    make(map[consentKey]map[ident.Host]bool),
	}
}

// chooseWitnesses picks an odd number of living hosts, spread evenly over their
// order by name. It returns nil if fewer than three hosts are alive, because a
// takeover would then depend on each of them.
func chooseWitnesses(cs []Candidate) []ident.Host {
	var alive []ident.Host
	for _, c := range cs {
		if c.Alive {
			alive = append(alive, c.Owner.Member.Host)
		}
	}
	n := min(maxWitnesses, len(alive))
	if n%2 == 0 {
		n--
	}
	if n < 3 {
		return nil
	}
	witnesses := make([]ident.Host, n)
	for i := range witnesses {
		witnesses[i] = alive[i*len(alive)/n]
	}
	return witnesses
}

// Witnesses returns the hosts whose support this daemon needs if it owns keys.
func (a *Agent) Witnesses() []ident.Host { return a.table.Witnesses }

// NextOffset returns the end of the stream as last read. A request for support
// carries it.
func (a *Agent) NextOffset() ident.Offset { return a.nextOffset }

// recordLosses records which hosts lose keys in a newer table. An owner that has
// not read up to that table must not receive support.
func (a *Agent) recordLosses(t Table, next ident.Offset) {
	if !a.tableKnown {
		a.support.firstReadEnd = next
		return
	}
	seen := make(map[ident.Host]bool)
	for _, r := range a.table.Rows {
		h := r.Owner.Member.Host
		if !seen[h] && lostKeys(a.table, t, h) {
			a.support.lossOffsets[h] = next
		}
		seen[h] = true
	}
}

// lostKeys reports whether a host owned a key that it does not own in a newer
// table, or owns under another fencing token.
func lostKeys(before, after Table, h ident.Host) bool {
	for _, r := range before.Rows {
		if r.Owner.Member.Host != h {
			continue
		}
		kept := 0
		for _, n := range after.Rows {
			if n.Owner.Member.Host == h && n.Overlaps(r.Span) && n.Fence == r.Fence {
				kept += n.intersect(r.Span).Len()
			}
		}
		if kept < r.Len() {
			return true
		}
	}
	return false
}

// GrantSupport decides, as a witness, whether an owner may go on without the
// store; next is the end of the stream as the owner last read it. A witness
// supports nobody before it has read the table itself, and supports no owner that
// is suspected or may not know that it lost keys.
func (a *Agent) GrantSupport(owner ident.Member, next ident.Offset, now ident.Instant) bool {
	if !a.tableKnown || !slices.Contains(a.table.Witnesses, a.member.Host) || a.table.IsSuspected(owner) {
		return false
	}
	if next < max(a.support.firstReadEnd, a.support.lossOffsets[owner.Host]) {
		return false
	}
	a.support.lastPromise[owner.Host] = now
	return true
}

// RecordSupport records the support of a witness for a request that was sent at
// asked.
func (a *Agent) RecordSupport(by ident.Host, asked ident.Instant) {
	a.support.supportEnds[by] = max(a.support.supportEnds[by], asked.Add(a.cfg.SupportDuration))
}

// supportEnd returns until when a majority of the witnesses supports this daemon.
func (a *Agent) supportEnd() ident.Instant {
	ends := make([]ident.Instant, 0, maxWitnesses)
	for _, g := range a.table.Witnesses {
		ends = append(ends, a.support.supportEnds[g])
	}
	slices.Sort(ends)
	return ends[len(ends)-majority(len(ends))]
}

func majority(n int) int { return n/2 + 1 }

// Consents returns the suspicions that this daemon consents to as a witness. It
// consents once its last support of the suspected process has expired, and any
// support that the daemon's previous process gave; it gives no more support while
// the suspicion stands.
func (a *Agent) Consents(now ident.Instant) []Suspicion {
	if !a.tableKnown || !slices.Contains(a.table.Witnesses, a.member.Host) {
		return nil
	}
	var out []Suspicion
	for _, s := range a.table.Suspects {
		last := max(a.support.lastPromise[s.Member.Host], a.startedAt)
		if now > last.Add(a.cfg.withDrift(a.cfg.SupportDuration)) {
			out = append(out, s)
		}
	}
	return out
}

// RecordConsent records a witness's consent to a suspicion.
func (a *Agent) RecordConsent(by ident.Host, s Suspicion) {
	k := consentKey{s.Member, s.Fence}
	if a.support.consents[k] == nil {
		a.support.consents[k] = make(map[ident.Host]bool)
	}
	a.support.consents[k][by] = true
}

// majorityConsented reports whether a majority of the witnesses has consented to a
// suspicion.
func (a *Agent) majorityConsented(s Suspicion) bool {
	n := 0
	for _, g := range a.table.Witnesses {
		if a.support.consents[consentKey{s.Member, s.Fence}][g] {
			n++
		}
	}
	return len(a.table.Witnesses) > 0 && n >= majority(len(a.table.Witnesses))
}
