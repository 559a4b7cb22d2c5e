package lease

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// clone copies a state. The copy shares messages, which never change after they are
// sent, and nodes, which mutableProcess copies before a change.
func (s *modelState) clone() *modelState {
	c := *s
	c.inFlight = slices.Clone(s.inFlight)
	c.procs = slices.Clone(s.procs)
	return &c
}

func (n *Node) clone() *Node {
	c := *n
	c.groups = map[ident.Member]*group{}
	for id, g := range n.groups {
		c.groups[id] = g.clone()
	}
	return &c
}

func (g *group) clone() *group {
	c := *g
	c.sets = slices.Clone(g.sets)
	if g.holder != nil {
		h := *g.holder
		h.rounds, h.acks, h.released = slices.Clone(h.rounds), slices.Clone(h.acks), slices.Clone(h.released)
		c.holder = &h
	}
	if g.claimant != nil {
		l := *g.claimant
		l.rounds, l.answers = slices.Clone(l.rounds), slices.Clone(l.answers)
		c.claimant = &l
	}
	if g.witness != nil {
		x := *g.witness
		x.replacements, x.released = slices.Clone(x.replacements), slices.Clone(x.released)
		c.witness = &x
	}
	return &c
}

// encoder encodes states such that equal states have equal encodings.
type encoder []byte

func put[T ~int | ~int64 | ~uint32 | ~uint64](e *encoder, values ...T) {
	for _, v := range values {
		*e = binary.AppendVarint(*e, int64(v))
	}
}

func (e *encoder) flag(values ...bool) {
	for _, v := range values {
		b := byte(0)
		if v {
			b = 1
		}
		*e = append(*e, b)
	}
}

func (e *encoder) member(m ident.Member) {
	*e = append(*e, m.Host...)
	put(e, m.Incarnation)
}

func (e *encoder) releases(list []Release) { put(e, len(list)) }

func (s *modelState) encode() []byte {
	e := make(encoder, 0, 1024)
	put(&e, s.step, s.pauses, s.repeats, s.restarts)
	e.flag(s.releaseRequested, s.releaseConfirmed, s.reassigned)
	for i := range s.procs {
		p := &s.procs[i]
		if p.state == nil {
			p.state = p.node.encode()
		}
		put(&e, int(p.clock), p.version)
		e.flag(p.paused, p.reassigned)
		e = append(e, p.state...)
	}
	slices.SortFunc(s.inFlight, func(a, b sentMessage) int { return strings.Compare(a.key, b.key) })
	for _, f := range s.inFlight {
		e = append(e, f.key...)
	}
	return e
}

func (n *Node) encode() []byte {
	var e encoder
	put(&e, n.seq)
	e.member(n.self)
	for _, id := range n.ids {
		e.group(n.groups[id])
	}
	return e
}

func (e *encoder) group(g *group) {
	put(e, int(g.active), len(g.sets))
	e.flag(g.holder != nil, g.claimant != nil, g.witness != nil)
	if h := g.holder; h != nil {
		put(e, uint64(h.claim), uint64(h.set.Version), h.nextSentSeq, uint64(h.floor), h.changedSeq)
		e.flag(h.next != nil, h.heldReported)
		put(e, h.nextRenewAt)
		e.rounds(h.rounds)
		put(e, len(h.acks))
		for _, a := range h.acks {
			e.member(a.witness)
			put(e, uint64(a.until), a.seq)
		}
		put(e, len(h.released))
		for _, r := range h.released {
			put(e, r.seq)
			e.flag(r.doneReported)
		}
	}
	if c := g.claimant; c != nil {
		put(e, uint32(c.claim), c.set.Version)
		put(e, c.retryAt, c.giveUpAt)
		e.rounds(c.rounds)
		for _, a := range c.answers {
			e.member(a.reply.Witness)
			put(e, int(a.until), int(a.reply.Refusal), int(a.reply.Claim), int(a.reply.Wait), int(a.reply.Floor))
			e.releases(a.reply.Released)
			e.flag(a.reply.Next != nil, c.next != nil)
		}
	}
	if x := g.witness; x != nil {
		e.member(x.grant.grantee)
		put(e, int(x.grant.claim), int(x.grant.until), int(x.greatestClaim), int(x.floor), x.hintsSent, int(x.nextHintAt))
		e.releases(x.released)
		for _, s := range x.replacements {
			put(e, s.from, uint32(s.claim), s.next.Version)
		}
	}
}

func (e *encoder) rounds(list rounds) {
	put(e, len(list))
	for _, r := range list {
		put(e, int(r.seq), int(r.sentAt))
	}
}
