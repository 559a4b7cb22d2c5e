package membership

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// proposalKind is the kind of change that a record proposes.
type proposalKind uint8

const (
	electionProposal proposalKind = iota
	removalProposal               // of a member
	groupProposal                 // of a new version of a lease group
	sliceProposal                 // of the first assignment of a slice
)

// proposalKey identifies the change that a planned record proposes.
type proposalKey struct {
	kind    proposalKind
	member  ident.Member
	slice   ident.Slice
	version uint64 // version of the group, or the term of an election
}

// pendingProposal is a planned record that the table does not show yet.
type pendingProposal struct {
	retryAt ident.Instant    // instant at which the record may be planned again
	group   *record.GroupSet // nil unless the proposal is a group change
}

// pendingProposals remembers planned records until the table shows them or a
// timeout expires, so that the planner does not repeat them at once.
type pendingProposals struct {
	timeout   time.Duration
	proposals map[proposalKey]pendingProposal
}

// newPendingProposals returns an empty set whose proposals expire after timeout.
func newPendingProposals(timeout time.Duration) pendingProposals {
	return pendingProposals{timeout: timeout, proposals: make(map[proposalKey]pendingProposal)}
}

// clear removes all proposals.
func (p *pendingProposals) clear() { clear(p.proposals) }

// tryAdd adds the proposal k. It returns false if k is already pending.
func (p *pendingProposals) tryAdd(now ident.Instant, k proposalKey) bool {
	if _, ok := p.proposals[k]; ok {
		return false
	}
	p.proposals[k] = pendingProposal{retryAt: now.Add(p.timeout)}
	return true
}

// tryAddGroup adds the group change g. It returns false if g.Group already has a
// pending change to the same version.
func (p *pendingProposals) tryAddGroup(now ident.Instant, g *record.GroupSet) bool {
	k := proposalKey{kind: groupProposal, member: g.Group, version: uint64(g.Version)}
	if !p.tryAdd(now, k) {
		return false
	}
	p.proposals[k] = pendingProposal{retryAt: now.Add(p.timeout), group: g}
	return true
}

// groupChanges returns the pending group changes in unspecified order.
func (p *pendingProposals) groupChanges() []*record.GroupSet {
	var out []*record.GroupSet
	for _, entry := range p.proposals {
		if entry.group != nil {
			out = append(out, entry.group)
		}
	}
	return out
}

// removeSettled removes the proposals that the table shows and those that have
// timed out.
func (p *pendingProposals) removeSettled(now ident.Instant, t *ownership.Table) {
	for k, entry := range p.proposals {
		if !now.Before(entry.retryAt) || k.hasFolded(t) {
			delete(p.proposals, k)
		}
	}
}

// hasFolded reports whether the table t shows the change k or a later one.
func (k proposalKey) hasFolded(t *ownership.Table) bool {
	switch k.kind {
	case removalProposal:
		info, ok := t.Member(k.member)
		return !ok || !info.Present
	case groupProposal:
		g, ok := t.Group(k.member)
		return ok && uint64(g.Version) >= k.version
	case sliceProposal:
		info, ok := t.Slice(k.slice)
		return !ok || !info.Group.IsZero()
	default:
		_, term := t.Leader()
		return uint64(term) >= k.version
	}
}
