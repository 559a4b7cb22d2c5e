package lease

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// claimant is the state of a claim in progress. A claim has two phases. In the
// probe phase the claimant asks the witnesses whether they would grant a claim.
// When a majority would, it requests a claim one above the greatest that the
// answers report.
type claimant struct {
	set      WitnessSet
	next     *WitnessSet // set that may be replacing set; a majority of both must grant
	claim    ident.Claim // zero in the probe phase
	rounds   rounds
	answers  []claimAnswer // at most one for each witness, of the current phase
	retryAt  ident.Instant // the claim restarts with a probe at this instant
	giveUpAt ident.Instant // the claim is abandoned at this instant
}

// claimAnswer is the latest answer of one witness in the current phase.
type claimAnswer struct {
	reply *ClaimReply
	until ident.Instant // a grant in reply lapses at this instant
}

// claimTimeoutTTLs is the time, in TTLs, after which a claim without a majority is
// abandoned.
const claimTimeoutTTLs = 3

// onLapseHint starts a claim because a witness reports that its grant has lapsed.
func (n *Node) onLapseHint(now ident.Instant, m *LapseHint) []Command {
	g := n.groups[m.View.Group]
	if g == nil {
		return nil
	}
	return n.startClaim(now, g)
}

// startClaim starts a claim, or restarts one that is in the probe phase. It does
// nothing while a claim waits for grants, while this member's own lease is valid,
// or if this member is not a candidate or has resigned.
func (n *Node) startClaim(now ident.Instant, g *group) []Command {
	if c := g.claimant; c != nil && c.claim == 0 {
		return n.startProbe(now, g, c.giveUpAt)
	}
	if g.resigned || g.claimant != nil || !slices.Contains(g.candidates(), n.self) {
		return nil
	}
	if g.holder != nil && now.Before(g.holder.validUntil()) {
		return nil
	}
	return n.startProbe(now, g, now.Add(claimTimeoutTTLs*n.cfg.TTL))
}

// startProbe discards the answers so far and begins the probe phase with the
// oldest witness set that may be active.
func (n *Node) startProbe(now ident.Instant, g *group, giveUpAt ident.Instant) []Command {
	if len(g.sets) == 0 {
		g.claimant = nil
		return nil
	}
	g.claimant = &claimant{set: g.sets[0], giveUpAt: giveUpAt}
	return n.sendClaimRequests(now, g)
}

// sendClaimRequests asks all witnesses of the claimant's sets as one round.
func (n *Node) sendClaimRequests(now ident.Instant, g *group) []Command {
	c := g.claimant
	n.seq++
	c.rounds.add(round{seq: n.seq, sentAt: now}, n.cfg.holderTTL())
	c.retryAt = now.Add(n.cfg.RenewEvery)
	var out []Command
	for _, w := range c.set.Witnesses {
		out = append(out, n.newClaimRequest(g, w, c.set.Version))
	}
	second := c.secondSet(g)
	if second == nil {
		return out
	}
	for _, w := range second.Witnesses {
		if !slices.Contains(c.set.Witnesses, w) {
			out = append(out, n.newClaimRequest(g, w, second.Version))
		}
	}
	return out
}

// secondSet returns the witness set that is asked in addition to c.set, or nil if
// there is none. In the probe phase it is the newest set, whose witnesses may know
// that a later version is active.
func (c *claimant) secondSet(g *group) *WitnessSet {
	if c.claim != 0 {
		return c.next
	}
	return &g.sets[len(g.sets)-1]
}

func (n *Node) newClaimRequest(g *group, to ident.Member, version uint32) Command {
	c := g.claimant
	return &Send{To: to, Message: &ClaimRequest{
		View:     View{Group: g.recorded.ID, Version: version},
		Claimant: n.self,
		Witness:  to,
		Probe:    c.claim == 0,
		Claim:    c.claim,
		Seq:      n.seq,
		TTL:      n.cfg.TTL,
	}}
}

// onClaimReply records the answer of a witness and takes the next step of the
// claim. A reply that names a later active version restarts the probe. The claimant
// ignores replies from another phase, to forgotten rounds and for other witness
// sets.
func (n *Node) onClaimReply(now ident.Instant, m *ClaimReply) []Command {
	g := n.groups[m.View.Group]
	if g == nil || g.claimant == nil {
		return nil
	}
	c := g.claimant
	sentAt, found := c.rounds.sentAt(m.Seq)
	if !found || m.Probe != (c.claim == 0) {
		return nil
	}
	if m.Active > g.active {
		g.activate(m.Active)
		return n.startProbe(now, g, c.giveUpAt)
	}
	if m.View.Version != c.set.Version && (c.next == nil || m.View.Version != c.next.Version) {
		return nil
	}
	c.recordAnswer(claimAnswer{reply: m, until: sentAt.Add(n.cfg.holderTTL())})
	return n.evaluateAnswers(now, g)
}

// recordAnswer stores an answer in place of the earlier one of the same witness.
func (c *claimant) recordAnswer(a claimAnswer) {
	for i := range c.answers {
		if c.answers[i].reply.Witness == a.reply.Witness {
			c.answers[i] = a
			return
		}
	}
	c.answers = append(c.answers, a)
}

// evaluateAnswers takes the next step of the claim that the answers of the current
// phase allow.
func (n *Node) evaluateAnswers(now ident.Instant, g *group) []Command {
	c := g.claimant
	if c.set.Version != g.active {
		return nil // c.set is not known to be active
	}
	if next := c.completedReplacement(); next != nil {
		g.addSet(*next)
		g.activate(next.Version)
		return n.startProbe(now, g, c.giveUpAt)
	}
	if !c.majorityGranted(c.set) {
		return n.waitOrWithdraw(now, g)
	}
	if c.claim == 0 {
		c.claim = c.greatestClaim(g.recorded.Claim) + 1
		c.answers = nil
		return n.sendClaimRequests(now, g)
	}
	if next := c.setToAdopt(); next != nil && (c.next == nil || c.next.Version != next.Version) {
		c.next = next
		return n.sendClaimRequests(now, g)
	}
	if c.next != nil && !c.majorityGranted(*c.next) {
		return n.waitOrWithdraw(now, g)
	}
	return n.becomeHolder(now, g)
}

// setToAdopt returns the replacement of c.set that a granting witness received
// from the holder with the greatest claim, or nil if no granting witness knows of
// one. If a former holder completed a replacement, this is that replacement: a
// majority of the witnesses knows of it, and each later holder has adopted it.
func (c *claimant) setToAdopt() *WitnessSet {
	var next *WitnessSet
	var claim ident.Claim
	for _, a := range c.answers {
		r := a.reply
		if r.Granted && r.View.Version == c.set.Version && r.Next != nil && r.NextClaim > claim {
			next, claim = r.Next, r.NextClaim
		}
	}
	return next
}

// completedReplacement returns the set that a majority of the witnesses of c.set
// received from the same holder, or nil if there is none. That set has replaced
// c.set permanently. A set that two holders each sent to a minority does not
// count, because another set may have been adopted between them.
func (c *claimant) completedReplacement() *WitnessSet {
	count := map[ident.Claim]int{}
	for _, a := range c.answers {
		r := a.reply
		if r.Next == nil || r.View.Version != c.set.Version {
			continue
		}
		count[r.NextClaim]++
		if count[r.NextClaim] >= majority(len(c.set.Witnesses)) {
			return r.Next
		}
	}
	return nil
}

// majorityGranted reports whether a majority of the set has granted the request of
// the current phase.
func (c *claimant) majorityGranted(set WitnessSet) bool {
	count := 0
	for _, a := range c.answers {
		if a.reply.Granted && slices.Contains(set.Witnesses, a.reply.Witness) {
			count++
		}
	}
	return count >= majority(len(set.Witnesses))
}

// greatestClaim returns the greatest claim among known and the answers.
func (c *claimant) greatestClaim(known ident.Claim) ident.Claim {
	for _, a := range c.answers {
		known = max(known, a.reply.Claim)
	}
	return known
}

// waitOrWithdraw waits for more answers, unless a witness refused the claim, for
// example because another member claims at the same time. It then ends the grants
// of the claim at once, so that the candidate with the highest precedence need not
// wait until they lapse, and probes again after a delay that grows with this
// member's rank.
func (n *Node) waitOrWithdraw(now ident.Instant, g *group) []Command {
	c := g.claimant
	refused := slices.ContainsFunc(c.answers, func(a claimAnswer) bool { return !a.reply.Granted })
	if c.claim == 0 || !refused {
		c.backOff(now)
		return nil
	}
	out := n.resignations(g, c.claim, c.set, c.next)
	rank := slices.Index(g.candidates(), n.self)
	wait := time.Duration(rank+1) * n.hintInterval()
	g.claimant = &claimant{set: c.set, retryAt: now.Add(wait), giveUpAt: c.giveUpAt}
	return out
}

// resignations returns messages that end the grants of a claim at the witnesses of
// both sets; next may be nil.
func (n *Node) resignations(g *group, claim ident.Claim, set WitnessSet, next *WitnessSet) []Command {
	witnesses := slices.Clone(set.Witnesses)
	if next != nil {
		witnesses = append(witnesses, next.Witnesses...)
	}
	var out []Command
	for _, w := range witnesses {
		m := &Resign{View: View{Group: g.recorded.ID, Version: set.Version}, Member: n.self, Witness: w, Claim: claim}
		out = append(out, &Send{To: w, Message: m})
	}
	return out
}

// ResignGroup gives up the lease on a group at once, so that a successor can claim
// the group without waiting for a lapse. The caller must have stopped serving the
// group's slices, and no request on them may still run. This member does not claim
// the group again.
func (n *Node) ResignGroup(now ident.Instant, id ident.Member) []Command {
	g := n.groups[id]
	if g == nil || g.holder == nil {
		return nil
	}
	h := g.holder
	out := n.resignations(g, h.claim, h.set, h.next)
	g.resigned = true
	return n.finishCommands(now, append(n.replaceHolder(g, nil), out...))
}

// backOff postpones the next attempt to the instant at which the first grant to
// another member lapses.
func (c *claimant) backOff(now ident.Instant) {
	var first ident.Instant
	for _, a := range c.answers {
		at := now.Add(a.reply.Wait)
		if a.reply.Refusal == NotLapsed && (first == 0 || at.Before(first)) {
			first = at
		}
	}
	if first != 0 {
		c.retryAt = first
	}
}

// becomeHolder turns the claimant into the holder. Each completed release of a
// former holder was confirmed by a majority of the witnesses, so at least one
// granting witness has reported it.
func (n *Node) becomeHolder(now ident.Instant, g *group) []Command {
	c := g.claimant
	h := newHolder(now, c.claim, c.set)
	h.changedSeq = n.seq + 1
	if c.next != nil {
		h.next, h.nextSentSeq = c.next, n.seq+1
	}
	for _, a := range c.answers {
		if !a.reply.Granted {
			continue
		}
		h.acks.record(ack{witness: a.reply.Witness, until: a.until})
		h.floor = max(h.floor, a.reply.Floor)
		if !n.faults.ignoreReleased {
			h.inheritReleases(a.reply.Released, n.seq+1)
		}
	}
	g.claimant = nil
	lost := n.replaceHolder(g, h)
	return append(lost, n.sendRenewals(now, g)...)
}

// inheritReleases adds releases of former holders that are not known yet. They
// count as already reported.
func (h *holder) inheritReleases(released []Release, seq uint64) {
	for _, r := range released {
		known := slices.ContainsFunc(h.released, func(p pendingRelease) bool { return p.Release == r })
		if !known {
			h.released = append(h.released, pendingRelease{Release: r, seq: seq, doneReported: true})
		}
	}
}

// replaceHolder sets the holder role, or ends it if h is nil. It returns Lost if
// the former lease was reported as held.
func (n *Node) replaceHolder(g *group, h *holder) []Command {
	var out []Command
	if g.holder != nil && g.holder.heldReported {
		out = append(out, &Lost{Group: g.recorded.ID, Claim: g.holder.claim})
	}
	g.holder = h
	return out
}

// tickClaimant abandons the claim when its time is up, and restarts it with a probe
// when a retry is due, because the witnesses' answers may have changed.
func (n *Node) tickClaimant(now ident.Instant, g *group) []Command {
	c := g.claimant
	if !now.Before(c.giveUpAt) {
		g.claimant = nil
		return nil
	}
	if now.Before(c.retryAt) {
		return nil
	}
	return n.startProbe(now, g, c.giveUpAt)
}

// PendingClaims returns the IDs of the groups that this member is claiming.
func (n *Node) PendingClaims() []ident.Member {
	var out []ident.Member
	for _, id := range n.ids {
		if n.groups[id].claimant != nil {
			out = append(out, id)
		}
	}
	return out
}
