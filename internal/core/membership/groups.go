package membership

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// rescanInterval is the interval after which the planner checks the groups again
// even if nothing has changed, because a host may be eligible again after its
// hold.
const rescanInterval = 10 * time.Second

// scanInputs identifies the inputs of a check of all groups. If two checks have
// the same inputs, the second one finds nothing new.
type scanInputs struct {
	members   *ownership.MemberInfo // first element of the immutable list, which identifies it
	groups    *lease.Group          // likewise
	suspected uint64                // sum of the hashes of the suspected members
	at        ident.Instant         // time of the check
}

// scanDue reports whether the planner must check the groups: if the inputs have
// changed, if a group still needs a change, or if the last check was
// rescanInterval ago. If so, it records the inputs of the check.
func (p *Planner) scanDue(now ident.Instant, t *ownership.Table, live LiveView) bool {
	next := scanInputs{at: now}
	for _, info := range t.Members() {
		if live.Suspected(info.Member) {
			next.suspected += candidateHash(ident.Term(info.Member.Incarnation), info.Member)
		}
	}
	if members := t.Members(); len(members) > 0 {
		next.members = &members[0]
	}
	if groups := t.Groups(); len(groups) > 0 {
		next.groups = &groups[0]
	}
	same := p.lastScan
	same.at = next.at
	if next == same && len(p.changeNeededSince) == 0 && now.Sub(p.lastScan.at) < rescanInterval {
		return false
	}
	p.lastScan = next
	return true
}

// planGroups returns changes of lease groups, at most as many as the budget
// allows. New groups and groups that cannot renew their lease come first.
func (p *Planner) planGroups(now ident.Instant, t *ownership.Table, live LiveView) []record.Body {
	budget := p.cfg.GroupBudget - len(p.pending.groupChanges())
	if budget <= 0 || !p.scanDue(now, t, live) {
		return nil
	}
	r := p.newRoleChooser(now, t, live)
	urgent, deferrable := p.groupsToChange(now, r)
	var out []record.Body
	for _, target := range append(urgent, deferrable...) {
		if len(out) >= budget {
			// Check again at the next call for the groups that exceed the budget.
			p.lastScan = scanInputs{}
			break
		}
		if change := p.planGroupChange(now, r, target); change != nil {
			out = append(out, change)
		}
	}
	return out
}

// groupsToChange returns the groups to change now. Urgent are new groups and
// those that have lost the majority of their witnesses; deferrable are those that
// have needed a change for at least RepairDelay.
func (p *Planner) groupsToChange(now ident.Instant, r *roleChooser) (urgent, deferrable []targetGroup) {
	for _, info := range r.table.Members() {
		if _, ok := r.table.Group(info.Member); !ok && !info.LostGroup {
			urgent = append(urgent, r.targetGroup(lease.Group{ID: info.Member, Holder: info.Member}))
		}
	}
	neededSince := make(map[ident.Member]ident.Instant)
	for _, g := range r.table.Groups() {
		target := r.targetGroup(g)
		if !r.needsChange(target) {
			continue
		}
		since, ok := p.changeNeededSince[g.ID]
		if !ok {
			since = now
		}
		neededSince[g.ID] = since
		switch {
		case r.lostMajority(g):
			urgent = append(urgent, target)
		case now.Sub(since) >= p.cfg.RepairDelay:
			deferrable = append(deferrable, target)
		}
	}
	p.changeNeededSince = neededSince
	return urgent, deferrable
}

// planGroupChange returns the next version of a group, or nil if there is no
// better one or it is already pending.
func (p *Planner) planGroupChange(now ident.Instant, r *roleChooser, target targetGroup) *record.GroupSet {
	change := &record.GroupSet{
		Term:       p.term,
		Group:      target.group.ID,
		Version:    target.group.Version + 1,
		Witnesses:  r.chooseWitnesses(target),
		Successors: r.chooseSuccessors(target),
	}
	if change.Witnesses == nil {
		change.Witnesses = target.group.Witnesses
	}
	same := sameMembers(change.Witnesses, target.group.Witnesses) && slices.Equal(change.Successors, target.group.Successors)
	if len(change.Witnesses) == 0 || same || !p.pending.tryAddGroup(now, change) {
		return nil
	}
	return change
}

// lostMajority reports whether too few witnesses are usable to renew the lease of
// g.
func (r *roleChooser) lostMajority(g lease.Group) bool {
	usable := 0
	for _, m := range g.Witnesses {
		if r.usableWitness(m) {
			usable++
		}
	}
	return 2*usable <= len(g.Witnesses)
}

// needsChange reports whether a role of the group is vacant, is assigned to a
// member that is not usable, or is spread over fewer failure domains than
// possible.
func (r *roleChooser) needsChange(target targetGroup) bool {
	return r.needsWitnessChange(target) || r.needsSuccessorChange(target)
}

// needsWitnessChange reports whether the group needs other witnesses.
func (r *roleChooser) needsWitnessChange(target targetGroup) bool {
	others, withHolder := r.witnessCount(target)
	wanted := others
	if withHolder {
		wanted++
	}
	g := target.group
	if wanted > 0 && len(g.Witnesses) != wanted {
		return true
	}
	var domains []ident.FailureDomain
	for _, m := range g.Witnesses {
		if m == g.Holder && withHolder {
			continue
		}
		if m == g.Holder || !r.usableWitness(m) {
			return true
		}
		if d := r.domain(m); d != target.holderDomain && !slices.Contains(domains, d) {
			domains = append(domains, d)
		}
	}
	return len(domains) < min(others, r.witnesses.otherDomainCount(target.holderDomain))
}

// needsSuccessorChange reports whether the group needs other successors.
func (r *roleChooser) needsSuccessorChange(target targetGroup) bool {
	candidates := r.successorIndex(target.pool)
	g := target.group
	outsideDomain := 0
	for _, m := range g.Successors {
		if m == g.Holder || !r.usableSuccessor(m, target.pool) {
			return true
		}
		if r.domain(m) != target.holderDomain {
			outsideDomain++
		}
	}
	if len(g.Successors) < min(r.cfg.Successors, candidates.countExcept(g.Holder)) {
		return true
	}
	return outsideDomain < min(r.cfg.Successors, candidates.countOutside(g.Holder, target.holderDomain))
}

// sameMembers reports whether a and b contain the same members in any order.
func sameMembers(a, b []ident.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}
	return true
}
