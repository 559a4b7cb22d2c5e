package membership_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/membership"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// planInterval is the time between two calls of Plan of one member.
const planInterval = 200 * time.Millisecond

// domainCount is the number of failure domains.
const domainCount = 3

// fixedConfig is a ConfigState and ConfigView whose services never change.
type fixedConfig []config.Service

func (c fixedConfig) Apply(config.SignedChange) bool { return false }
func (c fixedConfig) InForce() ownership.ConfigView  { return c }
func (c fixedConfig) Export() ([]byte, error)        { return nil, nil }
func (c fixedConfig) Import([]byte) error            { return errors.ErrUnsupported }
func (c fixedConfig) Services() []config.Service     { return c }
func (c fixedConfig) Digest() [32]byte               { return [32]byte{} }
func (c fixedConfig) Service(n ident.Service) (config.Service, bool) {
	i := slices.IndexFunc(c, func(s config.Service) bool { return s.Name == n })
	if i < 0 {
		return config.Service{}, false
	}
	return c[i], true
}

// services is the configuration of all tests, with two pools.
var services = fixedConfig{
	{Name: "r", Mode: config.Keyed, Slices: 16, Pool: "p0"},
	{Name: "s", Mode: config.Keyed, Slices: 8, Pool: "p1"},
}

// process is one daemon process, that is, one member and its planner.
type process struct {
	member      ident.Member
	host        int
	planner     *membership.Planner
	seq         uint64
	pausedUntil ident.Instant // the process does not run before
	dead        bool
	table       *ownership.Table // table that the process read last
}

// cluster runs planners against one ownership state. With injectFaults, processes
// may plan from an old table and records may be lost.
type cluster struct {
	t                  assert.TestingT
	draw               *rapid.T // source of injected faults
	cfg                membership.Config
	now                ident.Instant
	state              *ownership.State
	processes          []*process
	logDown            bool // the log does not respond
	dropRecords        bool // planned records are counted but not appended
	injectFaults       bool
	firstDomainHosts   int // hosts below this number are all in the first failure domain
	foldedElections    int
	plannedElections   int
	foldedGroupChanges int
}

func newCluster(t assert.TestingT) *cluster {
	return &cluster{t: t, cfg: membership.DefaultConfig(), now: 1, state: ownership.NewState(services)}
}

// Suspected implements membership.LiveView. It suspects exactly the dead
// processes.
func (c *cluster) Suspected(m ident.Member) bool {
	return slices.ContainsFunc(c.processes, func(p *process) bool { return p.member == m && p.dead })
}

// LogCurrent implements membership.LiveView.
func (c *cluster) LogCurrent() bool { return !c.logDown }

// start starts a process on a host. Hosts are distributed over the failure
// domains and the given number of pools in turn.
func (c *cluster) start(host, pools int, incarnation ident.Incarnation) {
	domain, pool := host%domainCount, host%pools
	if host < c.firstDomainHosts {
		domain = 0
	}
	m := ident.Member{Host: ident.Host(fmt.Sprint("h", host)), Incarnation: incarnation}
	rng := rand.New(rand.NewPCG(uint64(host), uint64(incarnation)))
	p := &process{member: m, host: host, planner: membership.NewPlanner(m, c.cfg, rng)}
	c.processes = append(c.processes, p)
	location := ident.Location{FailureDomain: ident.FailureDomain(fmt.Sprint("d", domain))}
	c.append(p, &record.MemberJoined{Member: m, Location: location})
	c.append(p, &record.BackendChanged{Member: m, Pool: ident.Pool(fmt.Sprint("p", pool)), Capabilities: record.Capabilities{Slots: 10}})
}

// append folds one record and counts elections and group changes that fold.
func (c *cluster) append(p *process, b record.Body) ownership.Outcome {
	p.seq++
	o := c.state.Apply(c.state.NextOffset(), record.Envelope{Writer: p.member, Seq: p.seq, Body: b})
	switch b := b.(type) {
	case *record.LeaderElected:
		if o == ownership.Folded {
			c.foldedElections++
			assert.Equal(c.t, int(b.Term), c.foldedElections)
		}
	case *record.GroupSet:
		if o == ownership.Folded {
			c.foldedGroupChanges++
		}
	}
	return o
}

// advance advances the clock by planInterval, runs each process that is not dead
// or paused, and checks that a second plan from the same table is empty. Then
// successors claim the groups of dead holders, and holders carry out planned
// moves.
func (c *cluster) advance() {
	c.now = c.now.Add(planInterval)
	for _, p := range c.processes {
		if p.dead || c.now.Before(p.pausedUntil) {
			continue
		}
		if p.table == nil || !c.injectFaults || rapid.SampledFrom([]bool{true, true, false}).Draw(c.draw, "reads") {
			p.table = c.state.Table()
		}
		for _, b := range p.planner.Plan(c.now, p.table, c) {
			c.writeRecord(p, b)
		}
		again := p.planner.Plan(c.now, p.table, c)
		assert.Assert(c.t, len(again) == 0, "planned twice from one table: %+v", again)
	}
	if !c.logDown {
		c.claimGroups()
		c.moveSlices()
	}
}

// writeRecord appends a planned record unless it is lost, and checks that a
// record of an old term is stale.
func (c *cluster) writeRecord(p *process, b record.Body) {
	if _, ok := b.(*record.LeaderElected); ok {
		c.plannedElections++
	}
	if c.logDown || c.dropRecords || (c.injectFaults && rapid.SampledFrom([]bool{true, false, false, false}).Draw(c.draw, "lost")) {
		return
	}
	term := termOf(b)
	_, current := c.state.Table().Leader()
	o := c.append(p, b)
	if term != 0 && term < current {
		assert.Equal(c.t, o, ownership.Stale, "a record of term %d took effect in term %d: %+v", term, current, b)
	}
}

// termOf returns the term of a record that only the leader may write, otherwise
// zero.
func termOf(b record.Body) ident.Term {
	switch b := b.(type) {
	case *record.LeaderAlive:
		return b.Term
	case *record.GroupSet:
		return b.Term
	case *record.Assigned:
		return b.Term
	default:
		return 0
	}
}

// findLiving returns the process of m, or nil if it is dead.
func (c *cluster) findLiving(m ident.Member) *process {
	for _, p := range c.processes {
		if p.member == m && !p.dead {
			return p
		}
	}
	return nil
}

// claimGroups lets the first living successor claim each group whose holder is
// dead.
func (c *cluster) claimGroups() {
	for _, g := range c.state.Table().Groups() {
		if c.findLiving(g.Holder) != nil {
			continue
		}
		for _, m := range g.Successors {
			if p := c.findLiving(m); p != nil {
				c.append(p, &record.GroupClaimed{Group: g.ID, Claimant: m, Claim: g.Claim + 1})
				break
			}
		}
	}
}

// moveSlices lets living holders carry out a few of the moves that balance the
// slices.
func (c *cluster) moveSlices() {
	t := c.state.Table()
	for _, move := range placement.PlanMoves(t, 4) {
		g, _ := t.Group(move.From)
		if p := c.findLiving(g.Holder); p != nil {
			c.append(p, &record.Assigned{To: move.To, Moves: []record.Move{{Slice: move.Slice, PriorAssignment: move.PriorAssignment}}})
		}
	}
}
