package lease

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// holder is the state of a member that holds a group under one claim. A change of
// the witness set has three stages. While next is set and nextSentSeq is zero, the
// lease depends on the old set alone. While nextSentSeq is set, it depends on
// majorities of both sets. Once a majority of the old set has confirmed the request
// nextSentSeq, next replaces set.
type holder struct {
	claim        ident.Claim
	set          WitnessSet
	next         *WitnessSet // target of a change of the witness set; nil if none
	nextSentSeq  uint64      // first request that sends next to the old set; zero if none was sent
	rounds       rounds
	acks         acks
	released     []pendingRelease
	floor        ident.Offset // see RenewRequest.Floor
	changedSeq   uint64       // first request that contains the current released and floor
	nextRenewAt  ident.Instant
	heldReported bool // Held was reported, and Lost has not been reported since
}

// pendingRelease is a release whose new assignment the ownership table does not
// show yet.
type pendingRelease struct {
	Release
	seq          uint64 // first request that contains the release
	doneReported bool   // ReleaseDone was reported
}

// validUntil returns the instant at which the lease lapses.
func (h *holder) validUntil() ident.Instant {
	until := h.acks.validUntil(h.set)
	if h.nextSentSeq != 0 {
		until = min(until, h.acks.validUntil(*h.next))
	}
	return until
}

// confirmed reports whether majorities of all sets that the lease depends on have
// granted the request with the number seq or a later one.
func (h *holder) confirmed(seq uint64) bool {
	if h.nextSentSeq != 0 && !h.acks.confirmedByMajority(*h.next, seq) {
		return false
	}
	return h.acks.confirmedByMajority(h.set, seq)
}

func (h *holder) releases() []Release {
	out := make([]Release, 0, len(h.released))
	for _, r := range h.released {
		out = append(out, r.Release)
	}
	return out
}

func newHolder(now ident.Instant, claim ident.Claim, set WitnessSet) *holder {
	return &holder{claim: claim, set: set, nextRenewAt: now}
}

// sendRenewals asks all witnesses of the current and the next set for a renewal, as
// one round.
func (n *Node) sendRenewals(now ident.Instant, g *group) []Command {
	h := g.holder
	n.seq++
	h.rounds.add(round{seq: n.seq, sentAt: now}, n.cfg.holderTTL())
	h.nextRenewAt = now.Add(n.cfg.RenewEvery)
	var out []Command
	for _, w := range h.set.Witnesses {
		out = append(out, n.newRenewRequest(g, w, h.set.Version))
	}
	if h.next == nil {
		return out
	}
	for _, w := range h.next.Witnesses {
		if !slices.Contains(h.set.Witnesses, w) {
			out = append(out, n.newRenewRequest(g, w, h.next.Version))
		}
	}
	return out
}

func (n *Node) newRenewRequest(g *group, to ident.Member, version uint32) Command {
	h := g.holder
	m := &RenewRequest{
		View:     View{Group: g.recorded.ID, Version: version},
		Holder:   n.self,
		Witness:  to,
		Claim:    h.claim,
		Seq:      n.seq,
		TTL:      n.cfg.TTL,
		Active:   h.set.Version,
		Released: h.releases(),
		Floor:    h.floor,
	}
	if h.nextSentSeq != 0 && version == h.set.Version {
		m.Next = h.next
	}
	return &Send{To: to, Message: m}
}

// onRenewReply records the confirmation of a witness or handles its refusal.
func (n *Node) onRenewReply(now ident.Instant, m *RenewReply) []Command {
	g := n.groups[m.View.Group]
	if g == nil || g.holder == nil {
		return nil
	}
	if !m.Granted {
		return n.onRenewRefused(now, g, m)
	}
	h := g.holder
	countFrom, found := h.rounds.sentAt(m.Seq)
	if !found {
		return nil
	}
	if n.faults.countFromReceipt {
		countFrom = now
	}
	h.acks.record(ack{witness: m.Witness, until: countFrom.Add(n.cfg.holderTTL()), seq: m.Seq})
	return n.advanceSetChange(now, g)
}

// onRenewRefused gives up a lapsed lease and starts a new claim if a witness has
// granted a greater claim. Renewals of the old claim would only keep other
// claimants waiting.
func (n *Node) onRenewRefused(now ident.Instant, g *group, m *RenewReply) []Command {
	if m.Claim <= g.holder.claim || now.Before(g.holder.validUntil()) {
		return nil
	}
	return append(n.replaceHolder(g, nil), n.startClaim(now, g)...)
}

// advanceSetChange moves a change of the witness set to its next stage if the
// confirmations allow it.
func (n *Node) advanceSetChange(now ident.Instant, g *group) []Command {
	h := g.holder
	if h.nextSentSeq == 0 {
		h.chooseNext(g)
		if h.next == nil || !h.nextReady(now) {
			return nil
		}
		h.nextSentSeq = n.seq + 1
		if !n.faults.skipOldMajority {
			return n.sendRenewals(now, g)
		}
	}
	if !n.faults.skipOldMajority && !h.acks.confirmedByMajority(h.set, h.nextSentSeq) {
		return nil
	}
	h.switchToNext()
	g.activate(h.set.Version)
	return n.sendRenewals(now, g)
}

// switchToNext completes a change of the witness set and drops the confirmations of
// witnesses that are only in the old set.
func (h *holder) switchToNext() {
	h.set, h.next, h.nextSentSeq = *h.next, nil, 0
	h.acks = slices.DeleteFunc(h.acks, func(a ack) bool { return !slices.Contains(h.set.Witnesses, a.witness) })
}

// chooseNext makes the newest known set the target of the change.
func (h *holder) chooseNext(g *group) {
	newest := g.sets[len(g.sets)-1]
	if newest.Version <= h.set.Version {
		return
	}
	if h.next == nil || h.next.Version < newest.Version {
		h.next = &newest
	}
}

// nextReady reports whether the lease may start to depend on both sets: the grants
// of a majority of each are valid, and a majority of the next set has confirmed the
// current releases and floor.
func (h *holder) nextReady(now ident.Instant) bool {
	if !now.Before(h.acks.validUntil(h.set)) || !now.Before(h.acks.validUntil(*h.next)) {
		return false
	}
	return h.acks.confirmedByMajority(*h.next, h.changedSeq)
}

// tickHolder advances a change of the witness set and renews the lease when due.
func (n *Node) tickHolder(now ident.Instant, g *group) []Command {
	h := g.holder
	out := n.advanceSetChange(now, g)
	if now.Before(h.nextRenewAt) {
		return out
	}
	return append(out, n.sendRenewals(now, g)...)
}

// reportLease reports that the lease became valid or lapsed since the last report,
// and the releases confirmed since then.
func (n *Node) reportLease(now ident.Instant, g *group) []Command {
	h := g.holder
	var out []Command
	valid := now.Before(h.validUntil())
	if valid && !h.heldReported {
		out = append(out, &Held{Group: g.recorded.ID, Claim: h.claim, Released: h.releases(), Floor: h.floor})
	}
	if !valid && h.heldReported {
		out = append(out, &Lost{Group: g.recorded.ID, Claim: h.claim})
	}
	h.heldReported = valid
	if valid {
		out = append(out, h.reportReleases(g.recorded.ID)...)
	}
	return out
}

// reportReleases returns one ReleaseDone for each newly confirmed request that
// contains releases.
func (h *holder) reportReleases(id ident.Member) []Command {
	var out []Command
	var last uint64
	for i := range h.released {
		r := &h.released[i]
		if r.doneReported || !h.confirmed(r.seq) {
			continue
		}
		r.doneReported = true
		if r.seq != last {
			out = append(out, &ReleaseDone{Group: id, Seq: r.seq})
		}
		last = r.seq
	}
	return out
}

// ReleaseSlices permanently removes slices from a group held here. The caller must
// have stopped serving them, and may assign them elsewhere after the ReleaseDone
// event with the returned number. The number is zero if this member has no valid
// lease on the group.
func (n *Node) ReleaseSlices(now ident.Instant, id ident.Member, released []Release) (seq uint64, cmds []Command) {
	g := n.groups[id]
	if g == nil || g.holder == nil || !now.Before(g.holder.validUntil()) {
		return 0, nil
	}
	seq = n.seq + 1
	for _, r := range released {
		g.holder.released = append(g.holder.released, pendingRelease{Release: r, seq: seq})
	}
	g.holder.changedSeq = seq
	return seq, n.finishCommands(now, n.sendRenewals(now, g))
}

// SettleReleases forgets the releases that isSettled reports as carried out: the
// ownership table, folded up to position, has a later assignment of their slices.
// Because later claimants do not receive these releases any more, they must have
// folded the log up to position as well; the floor ensures that.
func (n *Node) SettleReleases(position ident.Offset, isSettled func(Release) bool) {
	for _, id := range n.ids {
		g := n.groups[id]
		if g.witness != nil {
			g.witness.settleReleases(position, isSettled)
		}
		if g.holder != nil {
			g.holder.settleReleases(position, isSettled, n.seq+1)
		}
	}
}

func (w *witness) settleReleases(position ident.Offset, isSettled func(Release) bool) {
	before := len(w.released)
	w.released = slices.DeleteFunc(w.released, isSettled)
	if len(w.released) < before {
		w.floor = max(w.floor, position)
	}
}

func (h *holder) settleReleases(position ident.Offset, isSettled func(Release) bool, seq uint64) {
	before := len(h.released)
	h.released = slices.DeleteFunc(h.released, func(r pendingRelease) bool { return isSettled(r.Release) })
	if len(h.released) == before {
		return
	}
	h.floor = max(h.floor, position)
	h.changedSeq = seq
}
