package membership

import (
	"math/rand/v2"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Planner decides what one member writes as, or in order to become, the leader.
// It is used by one goroutine.
type Planner struct {
	self     ident.Member
	cfg      Config
	election election
	pending  pending
	term     ident.Term // that pending belongs to
	alive    ident.Instant
	started  bool // a LeaderAlive was planned in this term

	noticed         map[ident.Member]ident.Instant // groups that want a change, since when
	unassignedSince ident.Instant                  // zero while every slice is assigned
	flaps           flapGuard
	scanned         scan
}

// NewPlanner returns the planner of member self. rng spreads elections.
func NewPlanner(self ident.Member, cfg Config, rng *rand.Rand) *Planner {
	return &Planner{
		self:     self,
		cfg:      cfg,
		election: election{self: self, cfg: cfg, rng: rng},
		pending:  newPending(cfg.ProposalTimeout),
		noticed:  make(map[ident.Member]ident.Instant),
		flaps:    newFlapGuard(cfg.FlapHold),
	}
}

// Plan returns the records to append now, in order. A record is not planned
// again before the fold shows it or the proposal timeout has passed.
func (p *Planner) Plan(now ident.Instant, t *ownership.Table, live LiveView) []record.Body {
	leader, term := t.Leader()
	if term != p.term {
		p.term = term
		p.started = false
		p.pending.clear()
		clear(p.noticed)
	}
	p.pending.sweep(now, t)
	due := p.election.due(now, t, live)
	info, ok := t.Member(p.self)
	if !ok || !info.Present {
		return nil
	}
	if leader == p.self && term > 0 {
		return p.lead(now, t, live)
	}
	if due && p.pending.propose(now, proposal{kind: proposeLeader, version: uint64(term) + 1}) {
		return []record.Body{&record.LeaderElected{Term: term + 1, Leader: p.self}}
	}
	return nil
}

func (p *Planner) lead(now ident.Instant, t *ownership.Table, live LiveView) []record.Body {
	var out []record.Body
	if !p.started || now.Sub(p.alive) >= p.cfg.LeaderInterval {
		p.started, p.alive = true, now
		out = append(out, &record.LeaderAlive{Term: p.term})
	}
	p.flaps.observe(now, t.Members())
	out = append(out, p.withdraw(now, t)...)
	out = append(out, p.planGroups(now, t, live)...)
	out = append(out, p.assign(now, t)...)
	return out
}

// withdraw returns the members whose lease group another member holds. A member
// replaced on its host needs no record.
func (p *Planner) withdraw(now ident.Instant, t *ownership.Table) []record.Body {
	var out []record.Body
	for _, info := range t.Members() {
		g, ok := t.Group(info.Member)
		if !info.LostGroup && (!ok || g.Holder == info.Member) {
			continue
		}
		if p.pending.propose(now, proposal{kind: proposeLeft, member: info.Member}) {
			out = append(out, &record.MemberLeft{Member: info.Member, Reason: record.LeftGroupLost})
		}
	}
	return out
}

// assign returns groups for slices that were never assigned, one record for
// each group.
func (p *Planner) assign(now ident.Instant, t *ownership.Table) []record.Body {
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
	for _, mv := range placement.PlanAssignments(t, p.cfg.AssignBudget) {
		if !p.pending.propose(now, proposal{kind: proposeSlice, slice: mv.Slice}) {
			continue
		}
		a := byGroup[mv.To]
		if a == nil {
			a = &record.Assigned{Term: p.term, To: mv.To}
			byGroup[mv.To] = a
			out = append(out, a)
		}
		a.Moves = append(a.Moves, record.Move{Slice: mv.Slice, PriorAssignment: mv.PriorAssignment})
	}
	return out
}

func hasUnassigned(t *ownership.Table) bool {
	for _, svc := range t.Config().Services() {
		if t.UnassignedCount(svc.Name) > 0 {
			return true
		}
	}
	return false
}
