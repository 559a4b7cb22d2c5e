package keyrange

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// trackSilentOwners records since when each owner has been silent.
func (a *Agent) trackSilentOwners(now ident.Instant, cs []Candidate) {
	alive := make(map[ident.Host]bool, len(cs))
	for _, c := range cs {
		alive[c.Owner.Member.Host] = c.Alive
	}
	owners := make(map[ident.Host]bool, len(a.table.Rows))
	for _, r := range a.table.Rows {
		h := r.Owner.Member.Host
		owners[h] = true
		if alive[h] || h == a.member.Host {
			delete(a.silentSince, h)
			delete(a.objections, h)
			continue
		}
		if _, ok := a.silentSince[h]; !ok {
			a.silentSince[h] = now
		}
	}
	for h := range a.silentSince {
		if !owners[h] {
			delete(a.silentSince, h)
		}
	}
}

// maxSuspicionDoubling bounds the wait before an owner that objected is suspected again.
const maxSuspicionDoubling = 5

// suspectSilentOwners returns a write that adds a suspicion against each owner
// that has been silent for SuspectAfter plus this planner's delay. An owner that objects
// lives, and only its way to this daemon is cut: the wait starts again and is doubled.
func (a *Agent) suspectSilentOwners(now ident.Instant, rank int, cs []Candidate) *Write {
	t, changed := a.table, false
	for _, r := range a.table.Rows {
		m := r.Owner.Member
		since, silent := a.silentSince[m.Host]
		wait := a.cfg.SuspectAfter<<min(a.objections[m.Host], maxSuspicionDoubling) + a.cfg.RankDelay*time.Duration(rank)
		if !silent || now.Sub(since) < wait || t.IsSuspected(m) {
			continue
		}
		t.Suspects = append(slices.Clone(t.Suspects), Suspicion{Member: m, Reporter: a.member.Host, Fence: fenceAt(a.nextOffset)})
		changed = true
	}
	if !changed {
		return nil
	}
	return &Write{Table: t, Reason: "suspicion"}
}

// takeOverSuspects returns a write that reassigns the rows of suspected owners
// once all their grants have expired. A read by the owner that did not show the
// suspicion was sent before the suspicion was appended, so it covers no grant
// after UnsupportedLease without support, and none after Lease with it. Once a
// majority of the witnesses has consented, the owner has no support, and
// UnsupportedLease is enough.
func (a *Agent) takeOverSuspects(now ident.Instant, rank int, cs []Candidate) *Write {
	t := a.table
	var spans []Span
	for _, s := range a.table.Suspects {
		seen, ok := a.suspicionSeenAt[s]
		wait := a.cfg.Lease
		if a.majorityConsented(s) {
			wait = a.cfg.UnsupportedLease
		}
		due := seen.Add(a.cfg.withDrift(a.cfg.withDrift(wait)) + a.cfg.RankDelay*time.Duration(rank))
		if _, silent := a.silentSince[s.Member.Host]; !ok || !silent || now < due || !a.mayTakeOver(s.Member, now) {
			continue
		}
		for _, r := range a.table.Rows {
			if r.Owner.Member == s.Member {
				spans = append(spans, r.Span)
			}
		}
		t = t.withoutSuspicions(s.Member.Host)
	}
	if len(spans) == 0 {
		return nil
	}
	return &Write{Table: a.assign(t, spans, withoutCold(cs)), Reason: "takeover"}
}
