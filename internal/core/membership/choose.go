package membership

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// selection collects the members that are chosen for one role of one lease group.
type selection struct {
	holder  ident.Member // holder of the group, never chosen by addMatching and addLeastUsed
	limit   int          // maximum number of members
	members []ident.Member
}

// excludes reports whether m cannot be added because it is the holder or already
// chosen.
func (s *selection) excludes(m ident.Member) bool {
	return m == s.holder || slices.Contains(s.members, m)
}

// addMatching adds those of the members for which test returns true, up to the
// limit.
func (s *selection) addMatching(members []ident.Member, test func(ident.Member) bool) {
	for _, m := range members {
		if len(s.members) < s.limit && !s.excludes(m) && test(m) {
			s.members = append(s.members, m)
		}
	}
}

// addLeastUsed adds the least used candidates of the allowed failure domains, up
// to the limit.
func (s *selection) addLeastUsed(x *candidateIndex, allowed func(ident.FailureDomain) bool) {
	for len(s.members) < s.limit {
		c := x.takeLeastUsed(s, allowed)
		if c == nil {
			return
		}
		s.members = append(s.members, c.member)
	}
}

// hasDomain reports whether a chosen member is in the failure domain.
func (s *selection) hasDomain(r *roleChooser, domain ident.FailureDomain) bool {
	return slices.ContainsFunc(s.members, func(m ident.Member) bool { return r.domain(m) == domain })
}

// anyDomain allows every failure domain.
func anyDomain(ident.FailureDomain) bool { return true }

// witnessCount returns how many members other than the holder should be witnesses
// of the group, and whether the holder should be one as well to make the number
// odd.
func (r *roleChooser) witnessCount(target targetGroup) (others int, withHolder bool) {
	available := r.witnesses.countExcept(target.group.Holder)
	for _, m := range target.group.Witnesses {
		if m != target.group.Holder && r.witnesses.members[m] == nil && r.usableWitness(m) {
			available++
		}
	}
	others = min(r.cfg.Witnesses, available)
	if others%2 == 1 {
		return others, false
	}
	if target.holderPresent {
		return others, true
	}
	return max(0, others-1), false
}

// chooseWitnesses returns the witnesses for the next version of a group. It
// prefers one witness in each failure domain other than the holder's, then
// further ones in these domains, then any in the holder's domain. At each step it
// keeps the present witnesses that are still usable and then adds the least used
// candidates. It returns nil if it does not find an odd number of witnesses.
func (r *roleChooser) chooseWitnesses(target targetGroup) []ident.Member {
	others, withHolder := r.witnessCount(target)
	s := &selection{holder: target.group.Holder, limit: others}
	otherDomain := func(d ident.FailureDomain) bool { return d != target.holderDomain }
	unusedDomain := func(d ident.FailureDomain) bool { return otherDomain(d) && !s.hasDomain(r, d) }
	old := target.group.Witnesses
	s.addMatching(old, func(m ident.Member) bool { return r.usableWitness(m) && unusedDomain(r.domain(m)) })
	s.addLeastUsed(r.witnesses, unusedDomain)
	s.addMatching(old, func(m ident.Member) bool { return r.usableWitness(m) && otherDomain(r.domain(m)) })
	s.addLeastUsed(r.witnesses, otherDomain)
	s.addMatching(old, r.usableWitness)
	s.addLeastUsed(r.witnesses, anyDomain)
	if withHolder {
		s.members = append(s.members, target.group.Holder)
	}
	if len(s.members)%2 == 0 {
		return nil
	}
	return s.members
}

// chooseSuccessors returns the successors for the next version of a group in
// order of precedence. Members outside the holder's failure domain come first.
// Within and outside this domain, it keeps the present successors that are still
// usable and then adds the least used candidates of the pool, outside it
// preferably in failure domains that have no successor yet.
func (r *roleChooser) chooseSuccessors(target targetGroup) []ident.Member {
	s := &selection{holder: target.group.Holder, limit: r.cfg.Successors}
	otherDomain := func(d ident.FailureDomain) bool { return d != target.holderDomain }
	unusedDomain := func(d ident.FailureDomain) bool { return otherDomain(d) && !s.hasDomain(r, d) }
	usable := func(m ident.Member) bool { return r.usableSuccessor(m, target.pool) }
	pool := r.successorIndex(target.pool)
	old := target.group.Successors
	s.addMatching(old, func(m ident.Member) bool { return usable(m) && otherDomain(r.domain(m)) })
	s.addLeastUsed(pool, unusedDomain)
	s.addLeastUsed(pool, otherDomain)
	s.addMatching(old, usable)
	s.addLeastUsed(pool, anyDomain)
	return s.members
}
