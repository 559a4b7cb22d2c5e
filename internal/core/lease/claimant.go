package lease

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// claimant is the state of a claim in progress. It first probes: when a majority
// would grant, it claims one above the greatest claim that they report.
type claimant struct {
	set     WitnessSet
	next    *WitnessSet // set that may be replacing it; its majority is needed too
	claim   ident.Claim // zero while probing
	rounds  rounds
	answers []claimAnswer
	retryAt ident.Instant
	endAt   ident.Instant // the claim is given up
}

// claimAnswer is the last answer of one witness in the present phase.
type claimAnswer struct {
	reply *ClaimReply
	until ident.Instant // the grant counts before this instant
}

// maxClaimTTLs is how many TTLs a claim goes on without a majority.
const maxClaimTTLs = 3

// onLapsed starts a claim on the word of a witness.
func (n *Node) onLapsed(now ident.Instant, m *LapseHint) []Command {
	g := n.groups[m.View.Group]
	if g == nil {
		return nil
	}
	return n.startClaim(now, g)
}

// startClaim begins a claim unless one is in progress or the group is held here.
func (n *Node) startClaim(now ident.Instant, g *group) []Command {
	if c := g.claimant; c != nil && c.claim == 0 {
		return n.probe(now, g, c.endAt)
	}
	if g.resigned || g.claimant != nil || !slices.Contains(g.candidates(), n.self) {
		return nil
	}
	if g.holder != nil && now.Before(g.holder.until()) {
		return nil
	}
	return n.probe(now, g, now.Add(maxClaimTTLs*n.cfg.TTL))
}

// probe starts the claim anew with the oldest set that may be active.
func (n *Node) probe(now ident.Instant, g *group, endAt ident.Instant) []Command {
	if len(g.sets) == 0 {
		g.claimant = nil
		return nil
	}
	g.claimant = &claimant{set: g.sets[0], endAt: endAt}
	return n.ask(now, g)
}

func (n *Node) ask(now ident.Instant, g *group) []Command {
	c := g.claimant
	n.seq++
	c.rounds.add(round{seq: n.seq, at: now}, n.cfg.heldFor())
	c.retryAt = now.Add(n.cfg.RenewEvery)
	var out []Command
	for _, w := range c.set.Witnesses {
		out = append(out, n.claimRequest(g, w, c.set.Version))
	}
	second := c.second(g)
	if second == nil {
		return out
	}
	for _, w := range second.Witnesses {
		if !slices.Contains(c.set.Witnesses, w) {
			out = append(out, n.claimRequest(g, w, second.Version))
		}
	}
	return out
}

// second returns the set that is asked besides the claimant's: the newest while
// probing, since it may know that a later version is active.
func (c *claimant) second(g *group) *WitnessSet {
	if c.claim != 0 {
		return c.next
	}
	return &g.sets[len(g.sets)-1]
}

func (n *Node) claimRequest(g *group, to ident.Member, version uint32) Command {
	c := g.claimant
	return &Send{To: to, Message: &ClaimRequest{
		View:     View{Group: g.known.ID, Version: version},
		Claimant: n.self,
		Witness:  to,
		Probe:    c.claim == 0,
		Claim:    c.claim,
		Seq:      n.seq,
		TTL:      n.cfg.TTL,
	}}
}

func (n *Node) onClaimReply(now ident.Instant, m *ClaimReply) []Command {
	g := n.groups[m.View.Group]
	if g == nil || g.claimant == nil {
		return nil
	}
	c := g.claimant
	at, found := c.rounds.sentAt(m.Seq)
	if !found || m.Probe != (c.claim == 0) {
		return nil
	}
	if m.Active > g.active {
		g.activate(m.Active)
		return n.probe(now, g, c.endAt)
	}
	if m.View.Version != c.set.Version && (c.next == nil || m.View.Version != c.next.Version) {
		return nil
	}
	c.put(claimAnswer{reply: m, until: at.Add(n.cfg.heldFor())})
	return n.decide(now, g)
}

func (c *claimant) put(a claimAnswer) {
	for i := range c.answers {
		if c.answers[i].reply.Witness == a.reply.Witness {
			c.answers[i] = a
			return
		}
	}
	c.answers = append(c.answers, a)
}

// decide acts on the answers of the present phase.
func (n *Node) decide(now ident.Instant, g *group) []Command {
	c := g.claimant
	if c.set.Version != g.active {
		return nil // not known to be active
	}
	if next := c.replaced(); next != nil {
		g.addSet(*next)
		g.activate(next.Version)
		return n.probe(now, g, c.endAt)
	}
	if !c.granted(c.set) {
		return n.fallBack(now, g)
	}
	if c.claim == 0 {
		c.claim = c.greatest(g.known.Claim) + 1
		c.answers = nil
		return n.ask(now, g)
	}
	if next := c.adopted(); next != nil && (c.next == nil || c.next.Version != next.Version) {
		c.next = next
		return n.ask(now, g)
	}
	if c.next != nil && !c.granted(*c.next) {
		return n.fallBack(now, g)
	}
	return n.win(now, g)
}

// adopted returns the replacement of the set that the holder of the greatest
// claim told to one of those who granted; nil without any. If a former holder
// completed a replacement, this is the one: a majority knows of it, and each
// later holder has adopted it.
func (c *claimant) adopted() *WitnessSet {
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

// replaced returns the set that one holder has told to a majority: it replaced
// the claimant's for good. The same set told by two holders to a minority each
// does not count, since another may have been adopted in between.
func (c *claimant) replaced() *WitnessSet {
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

// granted reports whether a majority of the set has granted.
func (c *claimant) granted(set WitnessSet) bool {
	count := 0
	for _, a := range c.answers {
		if a.reply.Granted && slices.Contains(set.Witnesses, a.reply.Witness) {
			count++
		}
	}
	return count >= majority(len(set.Witnesses))
}

func (c *claimant) greatest(known ident.Claim) ident.Claim {
	for _, a := range c.answers {
		known = max(known, a.reply.Claim)
	}
	return known
}

// fallBack waits for more answers. A claim that was refused, as when another
// member claims at the same time, is given up at once, so that the one who comes
// first in the order of precedence does not wait for its grants to lapse.
func (n *Node) fallBack(now ident.Instant, g *group) []Command {
	c := g.claimant
	refused := slices.ContainsFunc(c.answers, func(a claimAnswer) bool { return !a.reply.Granted })
	if c.claim == 0 || !refused {
		c.backOff(now)
		return nil
	}
	out := n.resignations(g, c.claim, c.set, c.next)
	rank := slices.Index(g.candidates(), n.self)
	wait := time.Duration(rank+1) * n.hintInterval()
	g.claimant = &claimant{set: c.set, retryAt: now.Add(wait), endAt: c.endAt}
	return out
}

// resignations ends the grants of a claim at the witnesses of its sets.
func (n *Node) resignations(g *group, claim ident.Claim, set WitnessSet, next *WitnessSet) []Command {
	witnesses := slices.Clone(set.Witnesses)
	if next != nil {
		witnesses = append(witnesses, next.Witnesses...)
	}
	var out []Command
	for _, w := range witnesses {
		m := &Resign{View: View{Group: g.known.ID, Version: set.Version}, Member: n.self, Witness: w, Claim: claim}
		out = append(out, &Send{To: w, Message: m})
	}
	return out
}

// ResignGroup gives a group held here away at once. The caller has stopped serving
// its slices, no request on them runs, and this member does not claim it again.
func (n *Node) ResignGroup(now ident.Instant, id ident.Member) []Command {
	g := n.groups[id]
	if g == nil || g.holder == nil {
		return nil
	}
	h := g.holder
	out := n.resignations(g, h.claim, h.set, h.next)
	g.resigned = true
	return n.finish(now, append(n.replaceHolder(g, nil), out...))
}

// backOff moves the next attempt to the end of the first grant that stands
// against it.
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

// win makes the claimant the holder. What was released before is known to at
// least one of a majority.
func (n *Node) win(now ident.Instant, g *group) []Command {
	c := g.claimant
	h := newHolder(now, c.claim, c.set)
	h.changed = n.seq + 1
	if c.next != nil {
		h.next, h.superseding = c.next, n.seq+1
	}
	for _, a := range c.answers {
		if !a.reply.Granted {
			continue
		}
		h.acks.put(ack{witness: a.reply.Witness, until: a.until})
		h.floor = max(h.floor, a.reply.Floor)
		if !n.rules.ignoreReleased {
			h.inherit(a.reply.Released, n.seq+1)
		}
	}
	g.claimant = nil
	lost := n.replaceHolder(g, h)
	return append(lost, n.renewAll(now, g)...)
}

func (h *holder) inherit(released []Release, seq uint64) {
	for _, r := range released {
		known := slices.ContainsFunc(h.released, func(p pendingRelease) bool { return p.Release == r })
		if !known {
			h.released = append(h.released, pendingRelease{Release: r, seq: seq, done: true})
		}
	}
}

func (n *Node) replaceHolder(g *group, h *holder) []Command {
	var out []Command
	if g.holder != nil && g.holder.reported {
		out = append(out, &Lost{Group: g.known.ID, Claim: g.holder.claim})
	}
	g.holder = h
	return out
}

// tickClaimant repeats the claim when due, from the start: the answers may have
// changed since.
func (n *Node) tickClaimant(now ident.Instant, g *group) []Command {
	c := g.claimant
	if !now.Before(c.endAt) {
		g.claimant = nil
		return nil
	}
	if now.Before(c.retryAt) {
		return nil
	}
	return n.probe(now, g, c.endAt)
}

// PendingClaims returns the groups that this member is claiming.
func (n *Node) PendingClaims() []ident.Member {
	var out []ident.Member
	for _, id := range n.ids {
		if n.groups[id].claimant != nil {
			out = append(out, id)
		}
	}
	return out
}
