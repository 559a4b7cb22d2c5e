package keyrange

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// mostGuards bounds the guards of a table: of five, two may be out of reach.
const mostGuards = 5

// guard is what an agent keeps as a guard of other owners, as an owner that is
// supported, and as a planner that gathers consents.
type guard struct {
	firstNext ident.Offset                    // end of the stream at the first read
	lost      map[ident.Host]ident.Offset     // end of the stream when a host was seen to have lost keys
	promised  map[ident.Host]ident.Instant    // last support given
	support   map[ident.Host]ident.Instant    // support of a guard lasts until
	consents  map[consent]map[ident.Host]bool // guards that consented
}

// consent names a suspicion.
type consent struct {
	member ident.Member
	at     uint64
}

func newGuard() guard {
	return guard{
		lost:     make(map[ident.Host]ident.Offset),
		promised: make(map[ident.Host]ident.Instant),
		support:  make(map[ident.Host]ident.Instant),
		consents: make(map[consent]map[ident.Host]bool),
	}
}

// chooseGuards spreads the guards over the living hosts, in the order of their
// names. Fewer than three would make a takeover depend on each of them.
func chooseGuards(cs []Candidate) []ident.Host {
	var alive []ident.Host
	for _, c := range cs {
		if c.Alive {
			alive = append(alive, c.Owner.Member.Host)
		}
	}
	n := min(mostGuards, len(alive))
	if n%2 == 0 {
		n--
	}
	if n < 3 {
		return nil
	}
	guards := make([]ident.Host, n)
	for i := range guards {
		guards[i] = alive[i*len(alive)/n]
	}
	return guards
}

// Witnesses returns the hosts whose support this daemon needs if it owns keys.
func (a *Agent) Witnesses() []ident.Host { return a.table.Witnesses }

// NextOffset is the end of the stream as last read, which goes with a request for
// support.
func (a *Agent) NextOffset() ident.Offset { return a.next }

// noteLosses remembers which hosts have fewer keys in a newer table. An owner that
// has not read as far must not be supported.
func (a *Agent) noteLosses(t Table, next ident.Offset) {
	if !a.known {
		a.guard.firstNext = next
		return
	}
	seen := make(map[ident.Host]bool)
	for _, r := range a.table.Rows {
		h := r.Owner.Member.Host
		if !seen[h] && lostKeys(a.table, t, h) {
			a.guard.lost[h] = next
		}
		seen[h] = true
	}
}

// lostKeys reports whether a host owned a key that it does not own in a newer
// table, or owns under another fence.
func lostKeys(before, after Table, h ident.Host) bool {
	for _, r := range before.Rows {
		if r.Owner.Member.Host != h {
			continue
		}
		kept := 0
		for _, n := range after.Rows {
			if n.Owner.Member.Host == h && n.Overlaps(r.Span) && n.Fence == r.Fence {
				kept += n.cut(r.Span).Len()
			}
		}
		if kept < r.Len() {
			return true
		}
	}
	return false
}

// GrantSupport decides as a guard whether an owner may go on without the store. Next
// is how far the owner has read. The guard supports nobody before it has read the
// table itself, nor one that is suspected or may not know that it lost keys.
func (a *Agent) GrantSupport(owner ident.Member, next ident.Offset, now ident.Instant) bool {
	if !a.known || !slices.Contains(a.table.Witnesses, a.member.Host) || a.table.IsSuspected(owner) {
		return false
	}
	if next < max(a.guard.firstNext, a.guard.lost[owner.Host]) {
		return false
	}
	a.guard.promised[owner.Host] = now
	return true
}

// RecordSupport takes in the support of a guard, asked for at an instant.
func (a *Agent) RecordSupport(by ident.Host, asked ident.Instant) {
	a.guard.support[by] = max(a.guard.support[by], asked.Add(a.cfg.SupportDuration))
}

// supportedUntil is until when a majority of the guards supports this daemon.
func (a *Agent) supportedUntil() ident.Instant {
	ends := make([]ident.Instant, 0, mostGuards)
	for _, g := range a.table.Witnesses {
		ends = append(ends, a.guard.support[g])
	}
	slices.Sort(ends)
	return ends[len(ends)-majority(len(ends))]
}

func majority(n int) int { return n/2 + 1 }

// Consents returns the suspicions that this daemon consents to as a guard: its
// last support of the suspected process, and that of its own predecessor, have run
// out, and it gives no more while the suspicion stands.
func (a *Agent) Consents(now ident.Instant) []Suspicion {
	if !a.known || !slices.Contains(a.table.Witnesses, a.member.Host) {
		return nil
	}
	var out []Suspicion
	for _, s := range a.table.Suspects {
		last := max(a.guard.promised[s.Member.Host], a.started)
		if now > last.Add(a.cfg.stretched(a.cfg.SupportDuration)) {
			out = append(out, s)
		}
	}
	return out
}

// RecordConsent takes in a guard's consent to a suspicion.
func (a *Agent) RecordConsent(by ident.Host, s Suspicion) {
	k := consent{s.Member, s.Fence}
	if a.guard.consents[k] == nil {
		a.guard.consents[k] = make(map[ident.Host]bool)
	}
	a.guard.consents[k][by] = true
}

// agreed reports whether a majority of the guards has consented to a suspicion.
func (a *Agent) agreed(s Suspicion) bool {
	n := 0
	for _, g := range a.table.Witnesses {
		if a.guard.consents[consent{s.Member, s.Fence}][g] {
			n++
		}
	}
	return len(a.table.Witnesses) > 0 && n >= majority(len(a.table.Witnesses))
}
