package lease

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// grant is a promise of a witness: no claim is given to another than the
// grantee before the instant until.
type grant struct {
	grantee ident.Member
	claim   ident.Claim
	until   ident.Instant
}

// supersession notes that the set of a version has been replaced.
type supersession struct {
	from  uint32
	claim ident.Claim
	next  WitnessSet
}

// witness is the state of a witness of one group. It lives in memory only: a
// restarted process has another incarnation and is no witness.
type witness struct {
	grant      grant
	greatest   ident.Claim // greatest claim granted or recorded
	superseded []supersession
	released   []Release
	floor      ident.Offset
	hints      int // sent since the grant lapsed
	nextHint   ident.Instant
}

// newWitness starts with a grant to the recorded holder, so that a claim waits
// a full TTL from the moment the group became known.
func newWitness(now ident.Instant, g Group, cfg Config) *witness {
	until := now.Add(cfg.promisedFor(cfg.TTL))
	w := &witness{greatest: g.Claim}
	w.promise(grant{grantee: g.Holder, claim: g.Claim, until: until})
	return w
}

func (w *witness) promise(g grant) {
	w.grant = g
	w.greatest = max(w.greatest, g.claim)
	w.hints = 0
	w.nextHint = g.until
}

// free reports whether the witness may grant to m: the grant to any other
// member has lapsed.
func (w *witness) free(now ident.Instant, m ident.Member) bool {
	return w.grant.grantee == m || !now.Before(w.grant.until)
}

// replacement returns what the witness knows of the replacement of a version.
func (w *witness) replacement(version uint32) (supersession, bool) {
	i := slices.IndexFunc(w.superseded, func(s supersession) bool { return s.from == version })
	if i < 0 {
		return supersession{}, false
	}
	return w.superseded[i], true
}

// supersede notes the replacement of a set; a later claim overrides.
func (w *witness) supersede(s supersession) {
	for i := range w.superseded {
		if w.superseded[i].from != s.from {
			continue
		}
		if w.superseded[i].claim < s.claim {
			w.superseded[i] = s
		}
		return
	}
	w.superseded = append(w.superseded, s)
}

func (w *witness) release(released []Release) {
	for _, r := range released {
		if !slices.Contains(w.released, r) {
			w.released = append(w.released, r)
		}
	}
}

func (n *Node) onRenew(now ident.Instant, m *RenewRequest) []Command {
	g := n.groups[m.View.Group]
	reply := &RenewReply{View: m.View, Witness: m.Witness, Seq: m.Seq, Refusal: NotWitness}
	if g != nil && g.witness != nil && m.TTL > 0 {
		reply.Refusal = g.witness.renew(now, m, n.cfg)
		reply.Claim = g.witness.greatest
	}
	reply.Granted = reply.Refusal == NotRefused
	if reply.Granted {
		g.activate(m.Active)
	}
	return []Command{&Send{To: m.Holder, Message: reply}}
}

// renew extends the grant of the holder of the greatest claim. A holder that
// won its claim with other witnesses is granted once the last grant lapsed.
func (w *witness) renew(now ident.Instant, m *RenewRequest, cfg Config) Refusal {
	if m.Claim < w.greatest {
		return SmallerClaim
	}
	if !w.free(now, m.Holder) {
		return NotLapsed
	}
	until := now.Add(cfg.promisedFor(m.TTL))
	w.promise(grant{grantee: m.Holder, claim: m.Claim, until: until})
	if m.Next != nil {
		w.supersede(supersession{from: m.View.Version, claim: m.Claim, next: *m.Next})
	}
	w.release(m.Released)
	w.floor = max(w.floor, m.Floor)
	return NotRefused
}

// onResign ends a grant early. The member never counts a grant of that claim
// again.
func (n *Node) onResign(now ident.Instant, m *Resign) {
	g := n.groups[m.View.Group]
	if g == nil || g.witness == nil {
		return
	}
	w := g.witness
	if w.grant.grantee != m.Member || w.grant.claim != m.Claim || !now.Before(w.grant.until) {
		return
	}
	w.grant = grant{claim: m.Claim, until: now}
	w.nextHint = now
}

func (n *Node) onClaimRequest(now ident.Instant, m *ClaimRequest) []Command {
	g := n.groups[m.View.Group]
	reply := &ClaimReply{View: m.View, Witness: m.Witness, Probe: m.Probe, Seq: m.Seq, Refusal: NotWitness}
	if g != nil && g.witness != nil && m.TTL > 0 {
		n.decideClaim(now, g, m, reply)
		reply.Active = g.active
	}
	return []Command{&Send{To: m.Claimant, Message: reply}}
}

// decideClaim grants or refuses a claim and fills in what the claimant has to
// know.
func (n *Node) decideClaim(now ident.Instant, g *group, m *ClaimRequest, reply *ClaimReply) {
	w := g.witness
	reply.Refusal = n.refuseClaim(now, g, m)
	reply.Granted = reply.Refusal == NotRefused
	if s, found := w.replacement(m.View.Version); found {
		reply.Next, reply.NextClaim = &s.next, s.claim
	}
	if reply.Granted && !m.Probe {
		until := now.Add(n.cfg.promisedFor(m.TTL))
		w.promise(grant{grantee: m.Claimant, claim: m.Claim, until: until})
	}
	if reply.Refusal == NotLapsed {
		reply.Wait = w.grant.until.Sub(now)
	}
	reply.Claim = w.greatest
	reply.Released = slices.Clone(w.released)
	reply.Floor = w.floor
}

func (n *Node) refuseClaim(now ident.Instant, g *group, m *ClaimRequest) Refusal {
	w := g.witness
	switch {
	case m.View.Version < g.active:
		return Superseded
	case !n.witnessOf(g, m.View.Version):
		return NotWitness
	case !slices.Contains(g.candidates(), m.Claimant):
		return NotSuccessor
	case !n.rules.claimBeforeLapse && !w.free(now, m.Claimant):
		return NotLapsed
	case !m.Probe && m.Claim < w.greatest:
		return SmallerClaim
	case !m.Probe && m.Claim == w.greatest && w.grant.grantee != m.Claimant:
		return SmallerClaim
	}
	return NotRefused
}

func (n *Node) witnessOf(g *group, version uint32) bool {
	set, found := g.set(version)
	return found && slices.ContainsFunc(set.Witnesses, n.isSelf)
}

// hint tells the candidates in turn that the grant has lapsed, one each
// ClaimStagger, until the group is granted again.
func (n *Node) hint(now ident.Instant, g *group) []Command {
	w := g.witness
	if now.Before(w.nextHint) {
		return nil
	}
	if n.replaced(g) {
		w.nextHint = now.Add(n.cfg.TTL)
		return nil
	}
	w.nextHint = now.Add(n.hintInterval())
	list := slices.DeleteFunc(g.candidates(), func(m ident.Member) bool { return m == w.grant.grantee })
	if len(list) == 0 {
		return nil
	}
	to := list[w.hints%len(list)]
	w.hints++
	view := View{Group: g.known.ID, Version: max(g.active, firstVersion)}
	return []Command{&Send{To: to, Message: &LapseHint{View: view, Witness: n.self, Claim: w.greatest}}}
}

// replaced reports whether the holder no longer renews with this witness: each
// of its sets has been replaced by one without it.
func (n *Node) replaced(g *group) bool {
	for _, set := range g.sets {
		if !slices.ContainsFunc(set.Witnesses, n.isSelf) {
			continue
		}
		if _, found := g.witness.replacement(set.Version); !found {
			return false
		}
	}
	return true
}

// hintInterval spreads the hints; without a stagger they follow the renewals.
func (n *Node) hintInterval() time.Duration {
	if n.cfg.ClaimStagger > 0 {
		return n.cfg.ClaimStagger
	}
	return n.cfg.RenewEvery
}
