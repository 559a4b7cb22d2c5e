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

// step is the time between two plans of one member.
const step = 200 * time.Millisecond

// domains is the number of failure domains.
const domains = 3

// fixedConfig is a configuration that never changes.
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

var services = fixedConfig{
	{Name: "r", Mode: config.Keyed, Slices: 16, Pool: "p0"},
	{Name: "s", Mode: config.Keyed, Slices: 8, Pool: "p1"},
}

// process is one member with its planner.
type process struct {
	member  ident.Member
	host    int
	planner *membership.Planner
	seq     uint64
	until   ident.Instant // paused before
	dead    bool
	table   *ownership.Table
}

// cluster runs planners against one fold. Processes may be paused with an old
// table, and their records lost.
type cluster struct {
	t         assert.TestingT
	draw      *rapid.T // source of faults
	cfg       membership.Config
	now       ident.Instant
	state     *ownership.State
	processes []*process
	down      bool // the log does not answer
	mute      bool // records are counted but not written
	faults    bool
	lumped    int // hosts below this number are all in the first failure domain
	terms     int // elections that folded
	elections int // elections planned
	sets      int // group changes that folded
}

func newCluster(t assert.TestingT) *cluster {
	return &cluster{t: t, cfg: membership.DefaultConfig(), now: 1, state: ownership.NewState(services)}
}

func (c *cluster) Suspected(m ident.Member) bool {
	return slices.ContainsFunc(c.processes, func(p *process) bool { return p.member == m && p.dead })
}

func (c *cluster) LogCurrent() bool { return !c.down }

// start runs a daemon on a host. Pools alternate between the hosts.
func (c *cluster) start(host, pools int, incarnation ident.Incarnation) {
	domain, pool := host%domains, host%pools
	if host < c.lumped {
		domain = 0
	}
	m := ident.Member{Host: ident.Host(fmt.Sprint("h", host)), Incarnation: incarnation}
	rng := rand.New(rand.NewPCG(uint64(host), uint64(incarnation)))
	p := &process{member: m, host: host, planner: membership.NewPlanner(m, c.cfg, rng)}
	c.processes = append(c.processes, p)
	where := ident.Location{FailureDomain: ident.FailureDomain(fmt.Sprint("d", domain))}
	c.append(p, &record.MemberJoined{Member: m, Location: where})
	c.append(p, &record.BackendChanged{Member: m, Pool: ident.Pool(fmt.Sprint("p", pool)), Capabilities: record.Capabilities{Slots: 10}})
}

// append folds one record and counts what came of it.
func (c *cluster) append(p *process, b record.Body) ownership.Outcome {
	p.seq++
	o := c.state.Apply(c.state.NextOffset(), record.Envelope{Writer: p.member, Seq: p.seq, Body: b})
	switch b := b.(type) {
	case *record.LeaderElected:
		if o == ownership.Folded {
			c.terms++
			assert.Equal(c.t, int(b.Term), c.terms)
		}
	case *record.GroupSet:
		if o == ownership.Folded {
			c.sets++
		}
	}
	return o
}

// advance runs every process once and then lets the holders carry out moves and
// the successors claim the groups of the dead.
func (c *cluster) advance() {
	c.now = c.now.Add(step)
	for _, p := range c.processes {
		if p.dead || c.now.Before(p.until) {
			continue
		}
		if p.table == nil || !c.faults || rapid.SampledFrom([]bool{true, true, false}).Draw(c.draw, "reads") {
			p.table = c.state.Table()
		}
		for _, b := range p.planner.Plan(c.now, p.table, c) {
			c.write(p, b)
		}
		again := p.planner.Plan(c.now, p.table, c)
		assert.Assert(c.t, len(again) == 0, "planned twice from one table: %+v", again)
	}
	if !c.down {
		c.claim()
		c.move()
	}
}

func (c *cluster) write(p *process, b record.Body) {
	if _, ok := b.(*record.LeaderElected); ok {
		c.elections++
	}
	if c.down || c.mute || (c.faults && rapid.SampledFrom([]bool{true, false, false, false}).Draw(c.draw, "lost")) {
		return
	}
	term := termOf(b)
	_, current := c.state.Table().Leader()
	o := c.append(p, b)
	if term != 0 && term < current {
		assert.Equal(c.t, o, ownership.Stale, "a record of term %d took effect in term %d: %+v", term, current, b)
	}
}

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

func (c *cluster) find(m ident.Member) *process {
	for _, p := range c.processes {
		if p.member == m && !p.dead {
			return p
		}
	}
	return nil
}

// claim lets the first living successor take over each group of a dead holder.
func (c *cluster) claim() {
	for _, g := range c.state.Table().Groups() {
		if c.find(g.Holder) != nil {
			continue
		}
		for _, m := range g.Successors {
			if p := c.find(m); p != nil {
				c.append(p, &record.GroupClaimed{Group: g.ID, Claimant: m, Claim: g.Claim + 1})
				break
			}
		}
	}
}

func (c *cluster) move() {
	t := c.state.Table()
	for _, mv := range placement.PlanMoves(t, 4) {
		g, _ := t.Group(mv.From)
		if p := c.find(g.Holder); p != nil {
			c.append(p, &record.Assigned{To: mv.To, Moves: []record.Move{{Slice: mv.Slice, PriorAssignment: mv.PriorAssignment}}})
		}
	}
}
