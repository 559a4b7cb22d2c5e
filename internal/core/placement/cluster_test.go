package placement_test

import (
	"errors"
	"fmt"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/placement"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

const pool ident.Pool = "p"

// serviceList is an unchangeable configuration that consists of its services.
type serviceList []config.Service

// newConfig returns a configuration with one keyed service for each slice count.
func newConfig(counts ...uint32) serviceList {
	var out serviceList
	for i, n := range counts {
		out = append(out, config.Service{Name: ident.Service(fmt.Sprint("s", i)), Mode: config.Keyed, Slices: n, Pool: pool})
	}
	return out
}

func (c serviceList) Apply(config.SignedChange) bool { return false }
func (c serviceList) InForce() ownership.ConfigView  { return c }
func (c serviceList) Export() ([]byte, error)        { return nil, nil }
func (c serviceList) Import([]byte) error            { return errors.ErrUnsupported }
func (c serviceList) Services() []config.Service     { return c }
func (c serviceList) Digest() [32]byte               { return [32]byte{} }
func (c serviceList) Service(n ident.Service) (config.Service, bool) {
	for _, s := range c {
		if s.Name == n {
			return s, true
		}
	}
	return config.Service{}, false
}

// cluster writes records to a real ownership.State. Member 0 is the leader and serves
// no pool.
type cluster struct {
	t         assert.TestingT
	state     *ownership.State
	seqs      map[ident.Member]uint64
	members   []ident.Member
	joinCount int
}

func newCluster(t assert.TestingT, cfg serviceList) *cluster {
	c := &cluster{t: t, state: ownership.NewState(cfg), seqs: map[ident.Member]uint64{}}
	lead := c.memberAt(0)
	c.write(lead, &record.MemberJoined{Member: lead})
	c.write(lead, &record.LeaderElected{Term: 1, Leader: lead})
	return c
}

func (c *cluster) memberAt(i int) ident.Member {
	return ident.Member{Host: ident.Host(fmt.Sprintf("h%04d", i)), Incarnation: 1}
}

// write applies a record of writer w and checks that the state accepts it.
func (c *cluster) write(w ident.Member, b record.Body) {
	c.seqs[w]++
	o := c.state.Apply(c.state.NextOffset(), record.Envelope{Writer: w, Seq: c.seqs[w], Body: b})
	assert.Equal(c.t, o, ownership.Folded, "%T %+v", b, b)
}

// join adds a member with the given number of slots and its lease group.
func (c *cluster) join(slots uint32) {
	c.joinCount++
	m := c.memberAt(c.joinCount)
	c.write(m, &record.MemberJoined{Member: m})
	c.write(m, &record.BackendChanged{Member: m, Pool: pool, Capabilities: record.Capabilities{Slots: slots}})
	c.write(c.memberAt(0), &record.GroupSet{Term: 1, Group: m, Version: 1, Witnesses: []ident.Member{m}, Successors: []ident.Member{c.memberAt(0)}})
	c.members = append(c.members, m)
}

// remove removes c.members[i]: if lost is set, member 0 takes over its group, else the
// member drains.
func (c *cluster) remove(i int, lost bool) {
	m := c.members[i]
	c.members = append(c.members[:i:i], c.members[i+1:]...)
	if lost {
		c.write(c.memberAt(0), &record.GroupClaimed{Group: m, Claimant: c.memberAt(0), Claim: 2})
		return
	}
	c.write(m, &record.BackendChanged{Member: m, Pool: pool, Draining: true})
}

// settle carries out the plans of PlanMoves until no move is due. It returns the
// number of moves between groups.
func (c *cluster) settle(budget int) int {
	return c.settleWith(budget, placement.PlanMoves)
}

// settleWith is like settle, but with the moves of the given planner.
func (c *cluster) settleWith(budget int, plan func(*ownership.Table, int) []placement.Move) int {
	moved := 0
	for range 10_000 {
		t := c.state.Table()
		assigns, moves := placement.PlanAssignments(t, 4*budget), plan(t, budget)
		if len(assigns)+len(moves) == 0 {
			return moved
		}
		for _, mv := range assigns {
			c.write(c.memberAt(0), &record.Assigned{Term: 1, To: mv.To, Moves: []record.Move{{Slice: mv.Slice, PriorAssignment: mv.PriorAssignment}}})
		}
		for _, mv := range moves {
			g, _ := t.Group(mv.From)
			c.write(g.Holder, &record.Assigned{To: mv.To, Moves: []record.Move{{Slice: mv.Slice, PriorAssignment: mv.PriorAssignment}}})
		}
		moved += len(moves)
	}
	c.t.(interface{ Fatal(...any) }).Fatal("the plan never settles")
	return moved
}
