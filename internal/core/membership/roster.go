package membership

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// roleChooser chooses the witnesses and successors of lease groups. It is valid
// for one ownership table.
type roleChooser struct {
	table      *ownership.Table
	live       LiveView
	cfg        Config
	eligible   map[ident.Member]ownership.MemberInfo // members that may have a role
	witnesses  *candidateIndex                       // candidates for witnesses
	successors map[ident.Pool]*candidateIndex        // candidates for successors, by pool
}

// fallbackCandidate is a candidate that is used only if an index has too few
// others.
type fallbackCandidate struct {
	index      *candidateIndex
	info       ownership.MemberInfo
	sliceCount int
}

// newRoleChooser returns a role chooser for the table. Members that are draining
// or whose host is on hold become fallbacks as witnesses. Members whose host is
// on hold become fallbacks as successors, and draining members are never chosen
// as successors.
func (p *Planner) newRoleChooser(now ident.Instant, t *ownership.Table, live LiveView) *roleChooser {
	r := &roleChooser{
		table:      t,
		live:       live,
		cfg:        p.cfg,
		eligible:   make(map[ident.Member]ownership.MemberInfo, len(t.Members())),
		witnesses:  newCandidateIndex(),
		successors: make(map[ident.Pool]*candidateIndex),
	}
	var fallbacks []fallbackCandidate
	for _, info := range t.Members() {
		if !r.isEligible(info) {
			continue
		}
		r.eligible[info.Member] = info
		sliceCount := t.SliceCount(info.Member)
		onHold := p.flapDamper.isHeld(now, info.Member)
		if onHold || info.Draining {
			fallbacks = append(fallbacks, fallbackCandidate{index: r.witnesses, info: info, sliceCount: sliceCount})
		} else {
			r.witnesses.add(info, sliceCount)
		}
		switch x := r.successorIndex(info.Pool); {
		case info.Draining:
		case onHold:
			fallbacks = append(fallbacks, fallbackCandidate{index: x, info: info, sliceCount: sliceCount})
		default:
			x.add(info, sliceCount)
		}
	}
	r.addFallbacks(fallbacks)
	r.countRoles(p.pending)
	return r
}

// successorIndex returns the candidates for successors of the groups whose slices
// are served by the pool.
func (r *roleChooser) successorIndex(name ident.Pool) *candidateIndex {
	x := r.successors[name]
	if x == nil {
		x = newCandidateIndex()
		r.successors[name] = x
	}
	return x
}

// addFallbacks adds the fallbacks to those indexes that have too few other
// candidates to fill the roles of a group.
func (r *roleChooser) addFallbacks(fallbacks []fallbackCandidate) {
	for _, f := range fallbacks {
		wanted := r.cfg.Successors + 1
		if f.index == r.witnesses {
			wanted = r.cfg.Witnesses + 1
		}
		if len(f.index.members) < wanted {
			f.index.add(f.info, f.sliceCount)
		}
	}
}

// countRoles counts the roles that the recorded groups and the pending group
// changes give to each candidate.
func (r *roleChooser) countRoles(p pendingProposals) {
	countGroup := func(id ident.Member, witnesses, successors []ident.Member) {
		r.witnesses.countRoles(witnesses)
		info, _ := r.table.Member(id)
		r.successorIndex(info.Pool).countRoles(successors)
	}
	for _, g := range r.table.Groups() {
		countGroup(g.ID, g.Witnesses, g.Successors)
	}
	for _, g := range p.groupChanges() {
		countGroup(g.Group, g.Witnesses, g.Successors)
	}
	r.witnesses.initHeaps()
	for _, x := range r.successors {
		x.initHeaps()
	}
}

// isEligible reports whether a member is present, is not suspected and, if it has
// its own lease group, still holds it.
func (r *roleChooser) isEligible(info ownership.MemberInfo) bool {
	if !info.Present || info.LostGroup || r.live.Suspected(info.Member) {
		return false
	}
	g, ok := r.table.Group(info.Member)
	return !ok || g.Holder == info.Member
}

// usableWitness reports whether m may remain a witness.
func (r *roleChooser) usableWitness(m ident.Member) bool {
	_, ok := r.eligible[m]
	return ok
}

// usableSuccessor reports whether m may remain a successor of a group whose
// slices are served by pool.
func (r *roleChooser) usableSuccessor(m ident.Member, pool ident.Pool) bool {
	info, ok := r.eligible[m]
	return ok && info.Pool == pool && !info.Draining
}

// domain returns the failure domain of m.
func (r *roleChooser) domain(m ident.Member) ident.FailureDomain {
	info, _ := r.table.Member(m)
	return info.Location.FailureDomain
}

// targetGroup is a lease group with the properties that influence the choice of
// its roles.
type targetGroup struct {
	group         lease.Group
	holderDomain  ident.FailureDomain
	pool          ident.Pool // pool that serves the group's slices
	holderPresent bool
}

// targetGroup looks up the properties of g.
func (r *roleChooser) targetGroup(g lease.Group) targetGroup {
	holder, _ := r.table.Member(g.Holder)
	firstHolder, _ := r.table.Member(g.ID)
	return targetGroup{
		group:         g,
		holderDomain:  holder.Location.FailureDomain,
		pool:          firstHolder.Pool,
		holderPresent: holder.Present,
	}
}
