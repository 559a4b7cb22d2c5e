package keyrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Tick lets time pass and returns a write if one is due. The candidates are all
// servers of the service that the daemon knows of, its own included. At most one
// write is under way.
func (a *Agent) Tick(now ident.Instant, cs []Candidate) *Write {
	if !a.known || a.inFlight || a.stale {
		return nil
	}
	slices.SortFunc(cs, func(x, y Candidate) int { return cmp.Compare(x.Owner.Member.Host, y.Owner.Member.Host) })
	a.watchOwners(now, cs)
	w := a.plan(now, cs)
	if w != nil {
		w.Offset = a.next
		a.inFlight = true
	}
	return w
}

// plan returns the most urgent change of the table.
func (a *Agent) plan(now ident.Instant, cs []Candidate) *Write {
	if w := a.object(); w != nil {
		return w
	}
	if w := a.reclaim(); w != nil {
		return w
	}
	a.leave(now, cs)
	a.balance(now, cs)
	if w := a.give(now, cs); w != nil {
		return w
	}
	rank, ok := a.rank(cs)
	if !ok {
		return nil
	}
	if w := a.takeOver(now, rank, cs); w != nil {
		return w
	}
	if w := a.suspect(now, rank, cs); w != nil {
		return w
	}
	return a.fillGaps(now, rank, cs)
}

// object answers a suspicion against this daemon, whose process is not gone. A
// suspicion against its predecessor falls with the claim of its rows.
func (a *Agent) object() *Write {
	if !a.table.IsSuspected(a.member) {
		return nil
	}
	return &Write{Table: a.table.cleared(a.member.Host), Reason: "objection"}
}

// reclaim renames the rows of an earlier process or an earlier life of the
// server. The same life keeps its fence: nobody else had the keys meanwhile.
func (a *Agent) reclaim() *Write {
	if a.life.ID == "" || !a.ready {
		return nil
	}
	t, changed := a.table.cleared(a.member.Host), false
	for _, r := range a.table.Rows {
		if r.Owner.Member.Host != a.member.Host || r.Owner == a.self() {
			continue
		}
		if r.Owner.Instance != a.life {
			r.Fence, r.TransferToken = fence(a.next), ""
		}
		r.Owner = a.self()
		t, changed = t.with(r), true
	}
	if !changed {
		return nil
	}
	return &Write{Table: t, Reason: "claim"}
}

// fence is the fencing token of rows that move by a write at an offset.
func fence(at ident.Offset) uint64 { return uint64(at) + 1 }

// leave marks every own row for others once the server drains or is gone.
func (a *Agent) leave(now ident.Instant, cs []Candidate) {
	if a.keepsServing(now) {
		return
	}
	for _, r := range a.table.Rows {
		if r.Owner.Member.Host != a.member.Host {
			continue
		}
		for _, rest := range a.ungiven(r.Span) {
			if to, ok := a.leastLoaded(cs); ok {
				a.giveRow(r, rest, to.Owner)
			}
		}
	}
}

// keepsServing reports whether the server will go on holding keys: it takes work
// and its heartbeats arrive.
func (a *Agent) keepsServing(now ident.Instant) bool {
	if a.draining || a.lost {
		return false
	}
	return now.Sub(max(a.beatAt, a.started)) <= a.cfg.stretched(a.cfg.MaxHold)
}

// giveRow marks a part of an own row for another server.
func (a *Agent) giveRow(r Row, s Span, to Owner) {
	a.gifts = append(a.gifts, gift{Span: s, fence: r.Fence, to: to})
}

// ungiven returns the parts of a span that no gift covers.
func (a *Agent) ungiven(s Span) []Span {
	parts := []Span{s}
	for _, g := range a.gifts {
		var rest []Span
		for _, p := range parts {
			rest = append(rest, p.without(g.Span)...)
		}
		parts = rest
	}
	return parts
}

// give writes the gifts that the server has released. One whose receiver is gone
// goes to another, or is kept if the server goes on.
func (a *Agent) give(now ident.Instant, cs []Candidate) *Write {
	a.renewGifts(now, cs)
	t := a.table
	for _, g := range a.gifts {
		if !a.free(g.Span, now) || !a.owns(g) {
			continue
		}
		t = t.with(Row{Span: g.Span, Owner: g.to, Fence: fence(a.next), TransferToken: a.handover(g.Span)})
	}
	if len(t.Rows) == len(a.table.Rows) && slices.Equal(t.Rows, a.table.Rows) {
		return nil
	}
	reason := "balance"
	if !a.keepsServing(now) {
		reason = "server_leaves"
	}
	return &Write{Table: t, Reason: reason}
}

// owns reports whether every key of a gift is this host's by the table, as it was
// when the gift was marked.
func (a *Agent) owns(g gift) bool {
	n := 0
	for _, r := range a.table.Rows {
		if r.Overlaps(g.Span) && r.Owner.Member.Host == a.member.Host && r.Fence == g.fence {
			n += r.cut(g.Span).Len()
		}
	}
	return n == g.Len()
}

// renewGifts drops the gifts that were written, and finds new receivers for those
// whose receiver is not there any more. While the outcome of a write is unclear
// nothing changes, since it may still be appended.
func (a *Agent) renewGifts(now ident.Instant, cs []Candidate) {
	if a.unclear {
		return
	}
	kept := a.gifts[:0]
	for _, g := range a.gifts {
		if !a.owns(g) {
			continue
		}
		if !receives(cs, g.to) {
			to, ok := a.leastLoaded(cs)
			if !ok || a.keepsServing(now) {
				continue
			}
			g.to = to.Owner
		}
		kept = append(kept, g)
	}
	a.gifts = kept
}

func receives(cs []Candidate, o Owner) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool { return c.Owner == o && c.Ready && c.Alive })
}

// rank is the place of this daemon among those that may plan for all.
func (a *Agent) rank(cs []Candidate) (int, bool) {
	rank := 0
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		if c.Owner.Member == a.member {
			return rank, true
		}
		rank++
	}
	return 0, false
}

// watchOwners notes since when each owner has not been heard of.
func (a *Agent) watchOwners(now ident.Instant, cs []Candidate) {
	alive := make(map[ident.Host]bool, len(cs))
	for _, c := range cs {
		alive[c.Owner.Member.Host] = c.Alive
	}
	owners := make(map[ident.Host]bool, len(a.table.Rows))
	for _, r := range a.table.Rows {
		h := r.Owner.Member.Host
		owners[h] = true
		if alive[h] || h == a.member.Host {
			delete(a.silent, h)
			continue
		}
		if _, ok := a.silent[h]; !ok {
			a.silent[h] = now
		}
	}
	for h := range a.silent {
		if !owners[h] {
			delete(a.silent, h)
		}
	}
}

// suspect appends a suspicion against owners that have been silent for long.
func (a *Agent) suspect(now ident.Instant, rank int, cs []Candidate) *Write {
	wait := a.cfg.SuspectAfter + a.cfg.RankDelay*time.Duration(rank)
	t, changed := a.table, false
	for _, r := range a.table.Rows {
		m := r.Owner.Member
		since, silent := a.silent[m.Host]
		if !silent || now.Sub(since) < wait || t.IsSuspected(m) {
			continue
		}
		t.Suspects = append(slices.Clone(t.Suspects), Suspicion{Member: m, Reporter: a.member.Host, Fence: fence(a.next)})
		changed = true
	}
	if !changed {
		return nil
	}
	return &Write{Table: t, Reason: "suspicion"}
}

// takeOver gives the rows of suspected owners away once every grant of theirs has
// run out: a read of theirs that did not show the suspicion was sent before it
// was appended, so that alone it covers no grant after Confirm, and none at all
// after Lease. Once a majority of the guards consents, nothing else covers one.
func (a *Agent) takeOver(now ident.Instant, rank int, cs []Candidate) *Write {
	t, changed := a.table, false
	for _, s := range a.table.Suspects {
		seen, ok := a.seen[s]
		wait := a.cfg.Lease
		if a.agreed(s) {
			wait = a.cfg.UnsupportedLease
		}
		due := seen.Add(a.cfg.stretched(a.cfg.stretched(wait)) + a.cfg.RankDelay*time.Duration(rank))
		if _, silent := a.silent[s.Member.Host]; !ok || !silent || now < due {
			continue
		}
		for _, r := range a.table.Rows {
			if r.Owner.Member == s.Member {
				t, changed = a.spread(t, r.Span, cs), true
			}
		}
		t = t.cleared(s.Member.Host)
	}
	if !changed {
		return nil
	}
	return &Write{Table: t, Reason: "takeover"}
}

// fillGaps gives out the keys that nobody owns.
func (a *Agent) fillGaps(now ident.Instant, rank int, cs []Candidate) *Write {
	gaps := a.table.Gaps()
	if len(gaps) == 0 {
		a.gapSince = 0
		return nil
	}
	if a.gapSince == 0 {
		a.gapSince = now
	}
	wait := a.cfg.RankDelay * time.Duration(rank)
	if len(a.table.Rows) == 0 {
		wait += max(0, a.started.Add(a.cfg.StartupDelay).Sub(now))
	}
	if now.Sub(a.gapSince) < wait {
		return nil
	}
	t := a.table
	if len(t.Rows) == 0 && len(t.Witnesses) == 0 {
		t.Witnesses = chooseGuards(cs)
	}
	for _, g := range gaps {
		t = a.spread(t, g, cs)
	}
	return &Write{Table: t, Reason: "unowned"}
}

// spread divides a span among the ready candidates that have fewest keys for
// their slots, in parts that even them out.
func (a *Agent) spread(t Table, s Span, cs []Candidate) Table {
	type room struct {
		owner Owner
		want  int
	}
	slots, keys := 0, s.Len()
	for _, c := range cs {
		if c.Ready && c.Alive {
			slots += c.Slots
			keys += t.KeyCount(c.Owner.Member.Host)
		}
	}
	if slots == 0 {
		return t
	}
	var rooms []room
	total := 0
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		want := keys*c.Slots/slots - t.KeyCount(c.Owner.Member.Host)
		if want > 0 {
			rooms = append(rooms, room{c.Owner, want})
			total += want
		}
	}
	from, given := int(s.From), 0
	for i, r := range rooms {
		given += r.want
		to := int(s.From) + s.Len()*given/total - 1
		if i == len(rooms)-1 {
			to = int(s.To)
		}
		if to < from {
			continue
		}
		t = t.with(Row{Span: Span{Key(from), Key(to)}, Owner: r.owner, Fence: fence(a.next)})
		from = to + 1
	}
	return t
}

// leastLoaded returns the ready candidate, this daemon's own apart, with the
// fewest keys and gifts for its slots.
func (a *Agent) leastLoaded(cs []Candidate) (Candidate, bool) {
	best, found, bestUse := Candidate{}, false, 0.0
	for _, c := range cs {
		if !c.Ready || !c.Alive || c.Owner.Member.Host == a.member.Host {
			continue
		}
		keys := a.table.KeyCount(c.Owner.Member.Host)
		for _, g := range a.gifts {
			if g.to == c.Owner {
				keys += g.Len()
			}
		}
		use := c.Utilization + float64(keys)/float64(int(MaxKey)+1)
		if !found || use < bestUse {
			best, found, bestUse = c, true, use
		}
	}
	return best, found
}
