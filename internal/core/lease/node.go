package lease

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// rules switches single rules of the protocol off, so that tests can show that
// each is needed. The zero value is the protocol.
type rules struct {
	answerForFormer  bool // a restarted witness answers for its former incarnation
	countFromReceipt bool // a grant counts from the receipt of the answer
	skipOldMajority  bool // a new witness set counts without the old set's grants
	claimBeforeLapse bool // a witness gives the claim before its grant lapsed
	ignoreReleased   bool // a claimant serves released slices
}

// Node is the part of one member in all lease groups: holder, claimant and
// witness. It is not safe for concurrent use.
type Node struct {
	self   ident.Member
	cfg    Config
	rules  rules
	seq    uint64 // of the last request
	groups map[ident.Member]*group
	ids    []ident.Member // keys of groups, sorted
}

// NewNode returns the node of a member that has just started. The config must be
// valid.
func NewNode(self ident.Member, cfg Config) *Node {
	return &Node{self: self, cfg: cfg, groups: make(map[ident.Member]*group)}
}

// SetGroups takes the groups that the log records now. Groups in which the
// member has no part are skipped.
func (n *Node) SetGroups(now ident.Instant, groups []Group) []Command {
	present := make(map[ident.Member]bool, len(groups))
	var out []Command
	for i := range groups {
		present[groups[i].ID] = true
		out = append(out, n.setGroup(now, groups[i])...)
	}
	return n.finish(now, append(out, n.dropGroups(present)...))
}

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

func (n *Node) setGroup(now ident.Instant, g Group) []Command {
	s := n.groups[g.ID]
	if s == nil {
		if !n.hasPart(g) {
			return nil
		}
		s = n.addGroup(now, g)
	}
	s.update(g)
	if s.witness == nil && n.inAnySet(s) {
		s.witness = newWitness(now, g, n.cfg)
	}
	if s.witness != nil {
		s.witness.greatest = max(s.witness.greatest, g.Claim)
	}
	if s.holder != nil && s.holder.claim < g.Claim {
		return n.replaceHolder(s, nil)
	}
	return nil
}

func (n *Node) addGroup(now ident.Instant, g Group) *group {
	s := newGroup(g)
	n.groups[g.ID] = s
	i, _ := slices.BinarySearchFunc(n.ids, g.ID, compareMembers)
	n.ids = slices.Insert(n.ids, i, g.ID)
	if g.ID == n.self && g.Claim <= firstClaim && s.active == firstVersion {
		s.holder = newHolder(now, firstClaim, s.sets[0])
	}
	return s
}

// firstClaim is the claim of a group's first holder.
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

func (n *Node) hasPart(g Group) bool {
	if n.isSelf(g.ID) || n.isSelf(g.Holder) {
		return true
	}
	if slices.ContainsFunc(g.Successors, n.isSelf) || slices.ContainsFunc(g.Witnesses, n.isSelf) {
		return true
	}
	return slices.ContainsFunc(g.Earlier, func(s WitnessSet) bool { return slices.ContainsFunc(s.Witnesses, n.isSelf) })
}

func (n *Node) inAnySet(g *group) bool {
	return slices.ContainsFunc(g.sets, func(s WitnessSet) bool { return slices.ContainsFunc(s.Witnesses, n.isSelf) })
}

// isSelf reports whether m is this process; another incarnation on the host is
// not.
func (n *Node) isSelf(m ident.Member) bool {
	return m == n.self || (n.rules.answerForFormer && m.Host == n.self.Host)
}

// HandleMessage takes a message from a member.
func (n *Node) HandleMessage(now ident.Instant, from ident.Member, m Message) []Command {
	return n.finish(now, n.dispatch(now, m))
}

func (n *Node) dispatch(now ident.Instant, m Message) []Command {
	switch m := m.(type) {
	case *RenewRequest:
		if n.isSelf(m.Witness) {
			return n.onRenew(now, m)
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
		return n.onLapsed(now, m)
	case *Resign:
		if n.isSelf(m.Witness) {
			n.onResign(now, m)
		}
	}
	return nil
}

// Tick does what is due.
func (n *Node) Tick(now ident.Instant) []Command {
	var out []Command
	for _, id := range n.ids {
		out = append(out, n.tickGroup(now, n.groups[id])...)
	}
	return n.finish(now, out)
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
		out = append(out, n.hint(now, g)...)
	}
	return out
}

// finish delivers what a member sends to itself and adds the reports.
func (n *Node) finish(now ident.Instant, cmds []Command) []Command {
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
			out = append(out, n.report(now, g)...)
		}
	}
	return out
}

// NextWake returns the instant at which Tick has something to do.
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
			consider(h.nextRenew)
			if h.reported {
				consider(h.until())
			}
		}
		if c := g.claimant; c != nil {
			consider(min(c.retryAt, c.endAt))
		}
		if g.witness != nil {
			consider(g.witness.nextHint)
		}
	}
	return next, found
}

// ValidLease reports whether this member holds the group at now, by its own clock,
// and until when.
func (n *Node) ValidLease(now ident.Instant, id ident.Member) (claim ident.Claim, until ident.Instant, ok bool) {
	g := n.groups[id]
	if g == nil || g.holder == nil {
		return 0, 0, false
	}
	until = g.holder.until()
	return g.holder.claim, until, now.Before(until)
}
