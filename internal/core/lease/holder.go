package lease

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// holder is the state of the holder of one claim on a group. A change of the
// witness set goes through three stages: with next set and superseding zero,
// the old set alone counts; with superseding set, both count; once a majority
// of the old set confirmed that request, next becomes the set.
type holder struct {
	claim       ident.Claim
	set         WitnessSet
	next        *WitnessSet
	superseding uint64 // first request that tells the old set of next; zero: none yet
	rounds      rounds
	acks        acks
	released    []pendingRelease
	floor       ident.Offset
	changed     uint64 // first request with the present released and floor
	nextRenew   ident.Instant
	reported    bool // Held was reported and Lost was not since
}

// pendingRelease is a release that the table does not show yet.
type pendingRelease struct {
	Release
	seq  uint64 // first request that carries it
	done bool   // ReleaseDone was reported
}

// until returns the instant before which the lease holds.
func (h *holder) until() ident.Instant {
	u := h.acks.until(h.set)
	if h.superseding != 0 {
		u = min(u, h.acks.until(*h.next))
	}
	return u
}

func (h *holder) confirmed(seq uint64) bool {
	if h.superseding != 0 && !h.acks.confirmed(*h.next, seq) {
		return false
	}
	return h.acks.confirmed(h.set, seq)
}

func (h *holder) releases() []Release {
	out := make([]Release, 0, len(h.released))
	for _, r := range h.released {
		out = append(out, r.Release)
	}
	return out
}

func newHolder(now ident.Instant, claim ident.Claim, set WitnessSet) *holder {
	return &holder{claim: claim, set: set, nextRenew: now}
}

func (n *Node) renewAll(now ident.Instant, g *group) []Command {
	h := g.holder
	n.seq++
	h.rounds.add(round{seq: n.seq, at: now}, n.cfg.heldFor())
	h.nextRenew = now.Add(n.cfg.RenewEvery)
	var out []Command
	for _, w := range h.set.Witnesses {
		out = append(out, n.renewal(g, w, h.set.Version))
	}
	if h.next == nil {
		return out
	}
	for _, w := range h.next.Witnesses {
		if !slices.Contains(h.set.Witnesses, w) {
			out = append(out, n.renewal(g, w, h.next.Version))
		}
	}
	return out
}

func (n *Node) renewal(g *group, to ident.Member, version uint32) Command {
	h := g.holder
	m := &RenewRequest{
		View:     View{Group: g.known.ID, Version: version},
		Holder:   n.self,
		Witness:  to,
		Claim:    h.claim,
		Seq:      n.seq,
		TTL:      n.cfg.TTL,
		Active:   h.set.Version,
		Released: h.releases(),
		Floor:    h.floor,
	}
	if h.superseding != 0 && version == h.set.Version {
		m.Next = h.next
	}
	return &Send{To: to, Message: m}
}

func (n *Node) onRenewReply(now ident.Instant, m *RenewReply) []Command {
	g := n.groups[m.View.Group]
	if g == nil || g.holder == nil {
		return nil
	}
	if !m.Granted {
		return n.onRefusal(now, g, m)
	}
	h := g.holder
	at, found := h.rounds.sentAt(m.Seq)
	if !found {
		return nil
	}
	if n.rules.countFromReceipt {
		at = now
	}
	h.acks.put(ack{witness: m.Witness, until: at.Add(n.cfg.heldFor()), seq: m.Seq})
	return n.changeSet(now, g)
}

// onRefusal gives a lapsed lease up for a new claim when a witness has granted a
// greater one: renewals of the old claim would only keep others waiting.
func (n *Node) onRefusal(now ident.Instant, g *group, m *RenewReply) []Command {
	if m.Claim <= g.holder.claim || now.Before(g.holder.until()) {
		return nil
	}
	return append(n.replaceHolder(g, nil), n.startClaim(now, g)...)
}

// changeSet moves a change of the witness set to its next stage where the
// confirmations allow it.
func (n *Node) changeSet(now ident.Instant, g *group) []Command {
	h := g.holder
	if h.superseding == 0 {
		h.retarget(g)
		if h.next == nil || !h.mayCountBoth(now) {
			return nil
		}
		h.superseding = n.seq + 1
		if !n.rules.skipOldMajority {
			return n.renewAll(now, g)
		}
	}
	if !n.rules.skipOldMajority && !h.acks.confirmed(h.set, h.superseding) {
		return nil
	}
	h.replaceSet()
	g.activate(h.set.Version)
	return n.renewAll(now, g)
}

func (h *holder) replaceSet() {
	h.set, h.next, h.superseding = *h.next, nil, 0
	h.acks = slices.DeleteFunc(h.acks, func(a ack) bool { return !slices.Contains(h.set.Witnesses, a.witness) })
}

// retarget aims the change at the newest recorded set.
func (h *holder) retarget(g *group) {
	newest := g.sets[len(g.sets)-1]
	if newest.Version <= h.set.Version {
		return
	}
	if h.next == nil || h.next.Version < newest.Version {
		h.next = &newest
	}
}

// mayCountBoth reports whether majorities of both sets have granted and the
// new one knows of everything released.
func (h *holder) mayCountBoth(now ident.Instant) bool {
	if !now.Before(h.acks.until(h.set)) || !now.Before(h.acks.until(*h.next)) {
		return false
	}
	return h.acks.confirmed(*h.next, h.changed)
}

// tickHolder renews when due.
func (n *Node) tickHolder(now ident.Instant, g *group) []Command {
	h := g.holder
	out := n.changeSet(now, g)
	if now.Before(h.nextRenew) {
		return out
	}
	return append(out, n.renewAll(now, g)...)
}

// report compares the lease with what was last reported.
func (n *Node) report(now ident.Instant, g *group) []Command {
	h := g.holder
	var out []Command
	valid := now.Before(h.until())
	if valid && !h.reported {
		out = append(out, &Held{Group: g.known.ID, Claim: h.claim, Released: h.releases(), Floor: h.floor})
	}
	if !valid && h.reported {
		out = append(out, &Lost{Group: g.known.ID, Claim: h.claim})
	}
	h.reported = valid
	if valid {
		out = append(out, h.reportReleases(g.known.ID)...)
	}
	return out
}

func (h *holder) reportReleases(id ident.Member) []Command {
	var out []Command
	var last uint64
	for i := range h.released {
		r := &h.released[i]
		if r.done || !h.confirmed(r.seq) {
			continue
		}
		r.done = true
		if r.seq != last {
			out = append(out, &ReleaseDone{Group: id, Seq: r.seq})
		}
		last = r.seq
	}
	return out
}

// ReleaseSlices gives up slices of a group held here for good. The caller has stopped
// serving them; they may be assigned elsewhere after ReleaseDone with the
// returned number. Zero means that the group is not held here.
func (n *Node) ReleaseSlices(now ident.Instant, id ident.Member, given []Release) (seq uint64, cmds []Command) {
	g := n.groups[id]
	if g == nil || g.holder == nil || !now.Before(g.holder.until()) {
		return 0, nil
	}
	seq = n.seq + 1
	for _, r := range given {
		g.holder.released = append(g.holder.released, pendingRelease{Release: r, seq: seq})
	}
	g.holder.changed = seq
	return seq, n.finish(now, n.renewAll(now, g))
}

// SettleReleases forgets the releases that the table shows as carried out: folded up to
// at, it has their slices at a later assignment. A later claimant must have
// folded as far, since it is no longer told of them.
func (n *Node) SettleReleases(at ident.Offset, settled func(Release) bool) {
	for _, id := range n.ids {
		g := n.groups[id]
		if g.witness != nil {
			g.witness.settle(at, settled)
		}
		if g.holder != nil {
			g.holder.settle(at, settled, n.seq+1)
		}
	}
}

func (w *witness) settle(at ident.Offset, settled func(Release) bool) {
	before := len(w.released)
	w.released = slices.DeleteFunc(w.released, settled)
	if len(w.released) < before {
		w.floor = max(w.floor, at)
	}
}

func (h *holder) settle(at ident.Offset, settled func(Release) bool, seq uint64) {
	before := len(h.released)
	h.released = slices.DeleteFunc(h.released, func(r pendingRelease) bool { return settled(r.Release) })
	if len(h.released) == before {
		return
	}
	h.floor = max(h.floor, at)
	h.changed = seq
}
