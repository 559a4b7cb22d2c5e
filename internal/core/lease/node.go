package lease

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// protocolFaults disables single rules of the protocol, so that tests can show
// that each rule is needed. The zero value runs the correct protocol.
type protocolFaults struct {
	answerForFormerIncarnation bool // a restarted witness answers for its former incarnation
	countFromReceipt           bool // a holder counts a grant from the receipt of the reply
	skipOldMajority            bool // a new witness set becomes active without the old set's confirmation
	claimBeforeLapse           bool // a witness grants a claim before its grant to another member lapsed
	ignoreReleased             bool // a claimant ignores the releases of former holders
}

// Node runs the roles of one member (holder, claimant, witness) in all its lease
// groups. It is not safe for concurrent use.
type Node struct {
	self   ident.Member
	cfg    Config
	faults protocolFaults
	seq    uint64 // number of the last request sent
	groups map[ident.Member]*group
	ids    []ident.Member // keys of groups, in ascending order
}

// NewNode returns the node of a member that has just started. The caller must
// have validated cfg.
func NewNode(self ident.Member, cfg Config) *Node {
	return &Node{self: self, cfg: cfg, groups: make(map[ident.Member]*group)}
}

// SetGroups replaces the groups by those that the log currently records. It
// skips groups in which the member has no role and drops groups that are no
// longer recorded.
func (n *Node) SetGroups(now ident.Instant, groups []Group) []Command {
	present := make(map[ident.Member]bool, len(groups))
	var out []Command
	for i := range groups {
		present[groups[i].ID] = true
		out = append(out, n.setGroup(now, groups[i])...)
	}
	return n.finishCommands(now, append(out, n.dropGroups(present)...))
}

// dropGroups deletes the groups that are not in present and reports held ones as
// lost.
func (n *Node) dropGroups(present map[ident.Member]bool) []Command {
	var out []Command
	n.ids = slices.DeleteFunc(n.ids, func(id ident.Member) bool {
		if present[id] {
			return false
		}
		out = append(out, n.replaceHolder(n.groups[id], nil)...)
		delete(n.groups, id)
		return true
	})
	return out
}

// setGroup adds or updates one group. A recorded claim greater than the one held
// here ends the holder role.
func (n *Node) setGroup(now ident.Instant, recorded Group) []Command {
	g := n.groups[recorded.ID]
	if g == nil {
		if !n.hasRole(recorded) {
			return nil
		}
		g = n.addGroup(now, recorded)
	}
	g.update(recorded)
	if g.witness == nil && n.isWitnessInAnySet(g) {
		g.witness = newWitness(now, recorded, n.cfg)
	}
	if g.witness != nil {
		g.witness.greatestClaim = max(g.witness.greatestClaim, recorded.Claim)
	}
	if g.holder != nil && g.holder.claim < recorded.Claim {
		return n.replaceHolder(g, nil)
	}
	return nil
}

// addGroup adds a group. The first holder of a group starts in the holder role
// without a claim, provided that nothing has been claimed or replaced since.
func (n *Node) addGroup(now ident.Instant, recorded Group) *group {
	g := newGroup(recorded)
	n.groups[recorded.ID] = g
	i, _ := slices.BinarySearchFunc(n.ids, recorded.ID, compareMembers)
	n.ids = slices.Insert(n.ids, i, recorded.ID)
	if recorded.ID == n.self && recorded.Claim <= firstClaim && g.active == firstVersion {
		g.holder = newHolder(now, firstClaim, g.sets[0])
	}
	return g
}

// firstClaim is the claim number of a group's first holder.
const firstClaim ident.Claim = 1

func compareMembers(a, b ident.Member) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// hasRole reports whether this member is the first or the last recorded holder, a
// successor, or a witness of any recorded version of the group.
func (n *Node) hasRole(g Group) bool {
	if n.isSelf(g.ID) || n.isSelf(g.Holder) {
		return true
	}
	if slices.ContainsFunc(g.Successors, n.isSelf) || slices.ContainsFunc(g.Witnesses, n.isSelf) {
		return true
	}
	return slices.ContainsFunc(g.Earlier, func(s WitnessSet) bool { return slices.ContainsFunc(s.Witnesses, n.isSelf) })
}

// isWitnessInAnySet reports whether this member is in a witness set that may be
// active.
func (n *Node) isWitnessInAnySet(g *group) bool {
	return slices.ContainsFunc(g.sets, func(s WitnessSet) bool { return slices.ContainsFunc(s.Witnesses, n.isSelf) })
}

// isSelf reports whether m is this process. Another incarnation on the same host
// is a different member.
func (n *Node) isSelf(m ident.Member) bool {
	return m == n.self || (n.faults.answerForFormerIncarnation && m.Host == n.self.Host)
}

// HandleMessage processes a message from another member and returns the
// resulting commands.
func (n *Node) HandleMessage(now ident.Instant, from ident.Member, m Message) []Command {
	return n.finishCommands(now, n.dispatch(now, m))
}

// dispatch calls the handler of a message. It ignores messages to a witness that
// are addressed to another incarnation.
func (n *Node) dispatch(now ident.Instant, m Message) []Command {
	switch m := m.(type) {
	case *RenewRequest:
		if n.isSelf(m.Witness) {
			return n.onRenewRequest(now, m)
		}
	case *RenewReply:
		return n.onRenewReply(now, m)
	case *ClaimRequest:
		if n.isSelf(m.Witness) {
			return n.onClaimRequest(now, m)
		}
	case *ClaimReply:
		return n.onClaimReply(now, m)
	case *LapseHint:
		return n.onLapseHint(now, m)
	case *Resign:
		if n.isSelf(m.Witness) {
			n.onResign(now, m)
		}
	}
	return nil
}

// Tick sends the renewals, claim requests and lapse hints that are due at now and
// reports changes of the leases held here.
func (n *Node) Tick(now ident.Instant) []Command {
	var out []Command
	for _, id := range n.ids {
		out = append(out, n.tickGroup(now, n.groups[id])...)
	}
	return n.finishCommands(now, out)
}

func (n *Node) tickGroup(now ident.Instant, g *group) []Command {
	var out []Command
	if g.holder != nil {
		out = append(out, n.tickHolder(now, g)...)
	}
	if g.claimant != nil {
		out = append(out, n.tickClaimant(now, g)...)
	}
	if g.witness != nil {
		out = append(out, n.sendLapseHint(now, g)...)
	}
	return out
}

// finishCommands delivers the messages that this member sends to itself and
// appends the resulting Held, Lost and ReleaseDone reports.
func (n *Node) finishCommands(now ident.Instant, cmds []Command) []Command {
	var out []Command
	for len(cmds) > 0 {
		c := cmds[0]
		cmds = cmds[1:]
		if s, ok := c.(*Send); ok && s.To == n.self {
			cmds = append(cmds, n.dispatch(now, s.Message)...)
			continue
		}
		out = append(out, c)
	}
	for _, id := range n.ids {
		if g := n.groups[id]; g.holder != nil {
			out = append(out, n.reportLease(now, g)...)
		}
	}
	return out
}

// NextWake returns the earliest instant at which Tick has work to do, and false if
// there is none.
func (n *Node) NextWake() (ident.Instant, bool) {
	var next ident.Instant
	found := false
	consider := func(at ident.Instant) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for _, g := range n.groups {
		if h := g.holder; h != nil {
			consider(h.nextRenewAt)
			if h.heldReported {
				consider(h.validUntil())
			}
		}
		if c := g.claimant; c != nil {
			consider(min(c.retryAt, c.giveUpAt))
		}
		if g.witness != nil {
			consider(g.witness.nextHintAt)
		}
	}
	return next, found
}

// ValidLease reports whether this member's lease on the group is valid at now on
// its own clock, with the claim and the instant at which the lease lapses. The
// claim and the instant are also returned for a lease that has lapsed.
func (n *Node) ValidLease(now ident.Instant, id ident.Member) (claim ident.Claim, until ident.Instant, ok bool) {
	g := n.groups[id]
	if g == nil || g.holder == nil {
		return 0, 0, false
	}
	until = g.holder.validUntil()
	return g.holder.claim, until, now.Before(until)
}
