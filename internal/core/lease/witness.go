package lease

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// grant is a promise of a witness to grant claims to no member other than the
// grantee before the instant until.
type grant struct {
	grantee ident.Member
	claim   ident.Claim
	until   ident.Instant
}

// replacement records that the witness set of a version is being replaced.
type replacement struct {
	from  uint32      // version of the replaced set
	claim ident.Claim // claim of the holder that sent next
	next  WitnessSet
}

// witness is the state of a witness of one group. It is kept in memory only: after
// a restart the process has another incarnation and is no longer a witness.
type witness struct {
	grant         grant
	greatestClaim ident.Claim   // greatest claim granted or recorded
	replacements  []replacement // at most one for each version
	released      []Release
	floor         ident.Offset // see RenewRequest.Floor
	hintsSent     int          // number of lapse hints sent since the grant lapsed
	nextHintAt    ident.Instant
}

// newWitness returns a witness with a grant to the recorded holder, so that a
// claim waits for a full TTL after this member learned of the group.
func newWitness(now ident.Instant, recorded Group, cfg Config) *witness {
	until := now.Add(cfg.witnessTTL(cfg.TTL))
	w := &witness{greatestClaim: recorded.Claim}
	w.setGrant(grant{grantee: recorded.Holder, claim: recorded.Claim, until: until})
	return w
}

// setGrant replaces the grant and schedules the first lapse hint for its end.
func (w *witness) setGrant(g grant) {
	w.grant = g
	w.greatestClaim = max(w.greatestClaim, g.claim)
	w.hintsSent = 0
	w.nextHintAt = g.until
}

// mayGrantTo reports whether the witness may grant a claim to m: m has the current
// grant, or that grant has lapsed.
func (w *witness) mayGrantTo(now ident.Instant, m ident.Member) bool {
	return w.grant.grantee == m || !now.Before(w.grant.until)
}

// replacementOf returns the known replacement of the set of a version, if any.
func (w *witness) replacementOf(version uint32) (replacement, bool) {
	i := slices.IndexFunc(w.replacements, func(r replacement) bool { return r.from == version })
	if i < 0 {
		return replacement{}, false
	}
	return w.replacements[i], true
}

// recordReplacement stores the replacement of a set unless one from a holder with
// the same or a greater claim is known.
func (w *witness) recordReplacement(r replacement) {
	for i := range w.replacements {
		if w.replacements[i].from != r.from {
			continue
		}
		if w.replacements[i].claim < r.claim {
			w.replacements[i] = r
		}
		return
	}
	w.replacements = append(w.replacements, r)
}

// addReleases adds the releases that the witness does not know yet.
func (w *witness) addReleases(released []Release) {
	for _, r := range released {
		if !slices.Contains(w.released, r) {
			w.released = append(w.released, r)
		}
	}
}

// onRenewRequest answers a RenewRequest.
func (n *Node) onRenewRequest(now ident.Instant, m *RenewRequest) []Command {
	g := n.groups[m.View.Group]
	reply := &RenewReply{View: m.View, Witness: m.Witness, Seq: m.Seq, Refusal: NotWitness}
	if g != nil && g.witness != nil && m.TTL > 0 {
		reply.Refusal = g.witness.renewGrant(now, m, n.cfg)
		reply.Claim = g.witness.greatestClaim
	}
	reply.Granted = reply.Refusal == NotRefused
	if reply.Granted {
		g.activate(m.Active)
	}
	return []Command{&Send{To: m.Holder, Message: reply}}
}

// renewGrant extends the grant of the holder with the greatest claim. It also
// accepts a holder that gained its claim from other witnesses, once the current
// grant has lapsed.
func (w *witness) renewGrant(now ident.Instant, m *RenewRequest, cfg Config) Refusal {
	if m.Claim < w.greatestClaim {
		return SmallerClaim
	}
	if !w.mayGrantTo(now, m.Holder) {
		return NotLapsed
	}
	until := now.Add(cfg.witnessTTL(m.TTL))
	w.setGrant(grant{grantee: m.Holder, claim: m.Claim, until: until})
	if m.Next != nil {
		w.recordReplacement(replacement{from: m.View.Version, claim: m.Claim, next: *m.Next})
	}
	w.addReleases(m.Released)
	w.floor = max(w.floor, m.Floor)
	return NotRefused
}

// onResign ends a grant early. This is safe because the member never relies on a
// grant of that claim again.
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
	w.nextHintAt = now
}

// onClaimRequest answers a ClaimRequest.
func (n *Node) onClaimRequest(now ident.Instant, m *ClaimRequest) []Command {
	g := n.groups[m.View.Group]
	reply := &ClaimReply{View: m.View, Witness: m.Witness, Probe: m.Probe, Seq: m.Seq, Refusal: NotWitness}
	if g != nil && g.witness != nil && m.TTL > 0 {
		n.answerClaim(now, g, m, reply)
		reply.Active = g.active
	}
	return []Command{&Send{To: m.Claimant, Message: reply}}
}

// answerClaim grants or refuses a claim and completes the reply with the releases,
// the floor and the replacement of the set that the claimant needs to know.
func (n *Node) answerClaim(now ident.Instant, g *group, m *ClaimRequest, reply *ClaimReply) {
	w := g.witness
	reply.Refusal = n.claimRefusal(now, g, m)
	reply.Granted = reply.Refusal == NotRefused
	if r, found := w.replacementOf(m.View.Version); found {
		reply.Next, reply.NextClaim = &r.next, r.claim
	}
	if reply.Granted && !m.Probe {
		until := now.Add(n.cfg.witnessTTL(m.TTL))
		w.setGrant(grant{grantee: m.Claimant, claim: m.Claim, until: until})
	}
	if reply.Refusal == NotLapsed {
		reply.Wait = w.grant.until.Sub(now)
	}
	reply.Claim = w.greatestClaim
	reply.Released = slices.Clone(w.released)
	reply.Floor = w.floor
}

// claimRefusal returns the reason to refuse a claim, or NotRefused.
func (n *Node) claimRefusal(now ident.Instant, g *group, m *ClaimRequest) Refusal {
	w := g.witness
	switch {
	case m.View.Version < g.active:
		return Superseded
	case !n.isWitnessOf(g, m.View.Version):
		return NotWitness
	case !slices.Contains(g.candidates(), m.Claimant):
		return NotSuccessor
	case !n.faults.claimBeforeLapse && !w.mayGrantTo(now, m.Claimant):
		return NotLapsed
	case !m.Probe && m.Claim < w.greatestClaim:
		return SmallerClaim
	case !m.Probe && m.Claim == w.greatestClaim && w.grant.grantee != m.Claimant:
		return SmallerClaim
	}
	return NotRefused
}

// isWitnessOf reports whether this member is a witness of a version of the group
// that may be active.
func (n *Node) isWitnessOf(g *group, version uint32) bool {
	set, found := g.set(version)
	return found && slices.ContainsFunc(set.Witnesses, n.isSelf)
}

// sendLapseHint notifies the candidates in turn that the grant has lapsed, one
// candidate per hint interval, until the witness grants the group again.
func (n *Node) sendLapseHint(now ident.Instant, g *group) []Command {
	w := g.witness
	if now.Before(w.nextHintAt) {
		return nil
	}
	if n.isReplacedWitness(g) {
		w.nextHintAt = now.Add(n.cfg.TTL)
		return nil
	}
	w.nextHintAt = now.Add(n.hintInterval())
	candidates := slices.DeleteFunc(g.candidates(), func(m ident.Member) bool { return m == w.grant.grantee })
	if len(candidates) == 0 {
		return nil
	}
	to := candidates[w.hintsSent%len(candidates)]
	w.hintsSent++
	view := View{Group: g.recorded.ID, Version: max(g.active, firstVersion)}
	return []Command{&Send{To: to, Message: &LapseHint{View: view, Witness: n.self, Claim: w.greatestClaim}}}
}

// isReplacedWitness reports whether the holder no longer renews with this witness,
// because every set that contains this witness has been replaced.
func (n *Node) isReplacedWitness(g *group) bool {
	for _, set := range g.sets {
		if !slices.ContainsFunc(set.Witnesses, n.isSelf) {
			continue
		}
		if _, found := g.witness.replacementOf(set.Version); !found {
			return false
		}
	}
	return true
}

// hintInterval returns the interval between two lapse hints: the claim stagger, or
// the renewal interval if no stagger is configured.
func (n *Node) hintInterval() time.Duration {
	if n.cfg.ClaimStagger > 0 {
		return n.cfg.ClaimStagger
	}
	return n.cfg.RenewEvery
}
