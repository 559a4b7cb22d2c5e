package membership

import (
	"math/rand/v2"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Planner decides which records a member appends as the leader or to become the
// leader. It is not safe for concurrent use.
type Planner struct {
	self         ident.Member
	cfg          Config
	election     election
	pending      pendingProposals
	term         ident.Term    // term to which pending and changeNeededSince belong
	lastAliveAt  ident.Instant // time of the last planned LeaderAlive
	alivePlanned bool          // a LeaderAlive was planned in this term

	changeNeededSince map[ident.Member]ident.Instant // by group
	unassignedSince   ident.Instant                  // zero if every slice is assigned
	flapDamper        flapDamper
	lastScan          scanInputs
}

// NewPlanner returns the planner of the member self. Members use rng to avoid
// simultaneous elections.
func NewPlanner(self ident.Member, cfg Config, rng *rand.Rand) *Planner {
	return &Planner{
		self:              self,
		cfg:               cfg,
		election:          election{self: self, cfg: cfg, rng: rng},
		pending:           newPendingProposals(cfg.ProposalTimeout),
		changeNeededSince: make(map[ident.Member]ident.Instant),
		flapDamper:        newFlapDamper(cfg.FlapHold),
	}
}

// Plan returns the records that the member should append now, in order. It does
// not return a record again until the table shows that the record has folded or
// ProposalTimeout has expired.
func (p *Planner) Plan(now ident.Instant, t *ownership.Table, live LiveView) []record.Body {
	leader, term := t.Leader()
	if term != p.term {
		p.term = term
		p.alivePlanned = false
		p.pending.clear()
		clear(p.changeNeededSince)
	}
	p.pending.removeSettled(now, t)
	due := p.election.isDue(now, t, live)
	info, ok := t.Member(p.self)
	if !ok || !info.Present {
		return nil
	}
	if leader == p.self && term > 0 {
		return p.planAsLeader(now, t, live)
	}
	if due && p.pending.tryAdd(now, proposalKey{kind: electionProposal, version: uint64(term) + 1}) {
		return []record.Body{&record.LeaderElected{Term: term + 1, Leader: p.self}}
	}
	return nil
}

// planAsLeader returns the records that the leader should append now.
func (p *Planner) planAsLeader(now ident.Instant, t *ownership.Table, live LiveView) []record.Body {
	var out []record.Body
	if !p.alivePlanned || now.Sub(p.lastAliveAt) >= p.cfg.LeaderInterval {
		p.alivePlanned, p.lastAliveAt = true, now
		out = append(out, &record.LeaderAlive{Term: p.term})
	}
	p.flapDamper.observe(now, t.Members())
	out = append(out, p.planRemovals(now, t)...)
	out = append(out, p.planGroups(now, t, live)...)
	out = append(out, p.planAssignments(now, t)...)
	return out
}

// planRemovals returns records that remove the members whose lease group another
// member has claimed. A member that was replaced by a newer incarnation on its
// host is already absent and needs no record.
func (p *Planner) planRemovals(now ident.Instant, t *ownership.Table) []record.Body {
	var out []record.Body
	for _, info := range t.Members() {
		g, ok := t.Group(info.Member)
		if !info.LostGroup && (!ok || g.Holder == info.Member) {
			continue
		}
		if p.pending.tryAdd(now, proposalKey{kind: removalProposal, member: info.Member}) {
			out = append(out, &record.MemberLeft{Member: info.Member, Reason: record.LeftGroupLost})
		}
	}
	return out
}

// planAssignments returns records that assign slices without a group, one record
// for each group. It waits for AssignDelay after it first sees such slices.
func (p *Planner) planAssignments(now ident.Instant, t *ownership.Table) []record.Body {
	if !hasUnassigned(t) {
		p.unassignedSince = 0
		return nil
	}
	if p.unassignedSince == 0 {
		p.unassignedSince = now
	}
	if now.Sub(p.unassignedSince) < p.cfg.AssignDelay {
		return nil
	}
	var out []record.Body
	byGroup := make(map[ident.Member]*record.Assigned)
	for _, move := range placement.PlanAssignments(t, p.cfg.AssignBudget) {
		if !p.pending.tryAdd(now, proposalKey{kind: sliceProposal, slice: move.Slice}) {
			continue
		}
		a := byGroup[move.To]
		if a == nil {
			a = &record.Assigned{Term: p.term, To: move.To}
			byGroup[move.To] = a
			out = append(out, a)
		}
		a.Moves = append(a.Moves, record.Move{Slice: move.Slice, PriorAssignment: move.PriorAssignment})
	}
	return out
}

// hasUnassigned reports whether a service has hash ranges without a group.
func hasUnassigned(t *ownership.Table) bool {
	for _, svc := range t.Config().Services() {
		if t.UnassignedCount(svc.Name) > 0 {
			return true
		}
	}
	return false
}
