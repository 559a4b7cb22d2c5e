package leasing_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/leasing"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// cluster is a few controllers with a log and a network between them.
type cluster struct {
	cfg   leasing.Config
	t     *testing.T
	nodes []*node

	mu     sync.Mutex // guards the rest and the tables of the nodes
	down   bool       // the log fails
	cut    map[ident.Member]bool
	mute   ident.Member // its records are refused
	bodies []record.Body
}

// node is one controller with its own table, which implements the ports.
type node struct {
	*leasing.Controller
	c      *cluster
	self   ident.Member
	clock  *pausedClock
	stop   func()
	folded int
	groups map[ident.Member]lease.Group
	slices map[ident.Slice]leasing.SliceInfo
	keys   map[ident.Slice]string // idempotency records
	plan   []leasing.PlannedMove
}

// pausedClock can jump ahead, as the clock seems to do to a paused process.
type pausedClock struct {
	*ident.MonotonicClock
	ahead atomic.Int64
}

func (p *pausedClock) Now() ident.Instant {
	return p.MonotonicClock.Now().Add(time.Duration(p.ahead.Load()))
}

var config = leasing.Config{
	Lease: lease.Config{
		TTL: 400 * time.Millisecond, RenewEvery: 80 * time.Millisecond,
		DriftPerMille: 10, ClaimStagger: 60 * time.Millisecond,
	},
	RecordTimeout:      150 * time.Millisecond,
	RetryEvery:         20 * time.Millisecond,
	PlanEvery:          20 * time.Millisecond,
	MoveTimeout:        20 * time.Second,
	ArrivalWait:        20 * time.Second,
	MaxWaitingRequests: 8,
}

func member(i int) ident.Member {
	return ident.Member{Host: ident.Host(fmt.Sprint("h", i)), Incarnation: 1}
}

func slice(i int) ident.Slice { return ident.Slice{Service: "s", Index: uint32(i)} }

// startCluster starts controllers that each hold a group with one slice, whose
// witnesses are the next three.
func startCluster(t *testing.T, size int) *cluster { return startClusterWith(t, size, config) }

func startClusterWith(t *testing.T, size int, cfg leasing.Config) *cluster {
	c := &cluster{t: t, cfg: cfg, cut: map[ident.Member]bool{}}
	for i := range size {
		c.nodes = append(c.nodes, c.newNode(i, size))
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for i, n := range c.nodes {
		c.until(func() bool { return c.holds(n, slice(i)) })
	}
	return c
}

func (c *cluster) newNode(i, size int) *node {
	n := &node{c: c, self: member(i), clock: &pausedClock{MonotonicClock: ident.NewMonotonicClock()}, groups: map[ident.Member]lease.Group{}, slices: map[ident.Slice]leasing.SliceInfo{}, keys: map[ident.Slice]string{}}
	for g := range size {
		m := member(g)
		next := []ident.Member{member((g + 1) % size), member((g + 2) % size), member((g + 3) % size)}
		n.groups[m] = lease.Group{ID: m, Version: 1, Witnesses: next, Successors: next[:2], Claim: 1, Holder: m}
		n.slices[slice(g)] = leasing.SliceInfo{Slice: slice(g), Group: m, Assignment: 1}
	}
	n.keys[slice(i)] = "first"
	var err error
	n.Controller, err = leasing.New(leasing.Deps{
		Self: n.self, Config: c.cfg, Clock: n.clock, Table: n, Recorder: n, Granter: n,
		Idempotency: n, Directory: n, Transport: n, Planner: n, Log: zap.NewNop(),
	})
	assert.NilError(c.t, err)
	return n
}

func (c *cluster) start(n *node) {
	g := duty.NewGroup(context.Background())
	g.Go("controller", n.Run)
	n.stop = func() {
		g.Stop()
		assert.Check(c.t, g.Wait())
	}
	c.t.Cleanup(n.stop)
}

func (c *cluster) until(ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("condition not met")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (c *cluster) holds(n *node, s ident.Slice) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, release, err := n.Hold(ctx, s)
	if err == nil {
		release()
	}
	return err == nil
}

// isolate cuts a member off the network and the log, or ends that.
func (c *cluster) isolate(m ident.Member, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[m] = on
}

func (c *cluster) refuseRecords(m ident.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute = m
}

func (c *cluster) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// fold brings the tables of all members that are not cut off up to date.
func (c *cluster) fold() {
	for _, n := range c.nodes {
		if c.cut[n.self] {
			continue
		}
		for ; n.folded < len(c.bodies); n.folded++ {
			n.apply(c.bodies[n.folded])
		}
		n.NotifyTableChanged()
	}
}

func (n *node) apply(b record.Body) {
	switch b := b.(type) {
	case *record.GroupClaimed:
		if g := n.groups[b.Group]; b.Claim > g.Claim {
			g.Claim, g.Holder = b.Claim, b.Claimant
			n.groups[b.Group] = g
		}
	case *record.Assigned:
		for _, m := range b.Moves {
			if info := n.slices[m.Slice]; info.Assignment == m.PriorAssignment {
				n.slices[m.Slice] = leasing.SliceInfo{Slice: m.Slice, Group: b.To, Assignment: m.PriorAssignment + 1}
			}
		}
	}
}

func (n *node) Record(_ context.Context, bodies ...record.Body) error {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.down || n.c.cut[n.self] || n.c.mute == n.self {
		return logservice.ErrUnavailable
	}
	n.c.bodies = append(n.c.bodies, bodies...)
	n.c.fold()
	return nil
}

func (n *node) LogAvailable() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return !n.c.down
}

func (n *node) Position() ident.Offset {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return ident.Offset(n.folded)
}

func (n *node) Groups() []lease.Group {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var out []lease.Group
	for _, g := range n.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b lease.Group) int { return int(a.ID.Host[1]) - int(b.ID.Host[1]) })
	return out
}

func (n *node) Group(id ident.Member) (lease.Group, bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	g, found := n.groups[id]
	return g, found
}

func (n *node) Slice(s ident.Slice) (leasing.SliceInfo, bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	info, found := n.slices[s]
	return info, found
}

// GroupSlices is slow, as a publication of the view may be.
func (n *node) GroupSlices(group ident.Member) []leasing.SliceInfo {
	time.Sleep(time.Millisecond)
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	var out []leasing.SliceInfo
	for _, info := range n.slices {
		if info.Group == group {
			out = append(out, info)
		}
	}
	slices.SortFunc(out, func(a, b leasing.SliceInfo) int { return int(a.Slice.Index) - int(b.Slice.Index) })
	return out
}

func (n *node) Grant(context.Context, []leasing.SliceGrant, time.Duration) error { return nil }

func (n *node) ExportSlice(s ident.Slice) ([]byte, error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return []byte(n.keys[s]), nil
}

func (n *node) ImportSlice(s ident.Slice, data []byte) error {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.keys[s] = string(data)
	return nil
}

func (n *node) Peer(m ident.Member) (mesh.Peer, bool) { return mesh.Peer{Member: m}, true }

func (n *node) Send(to mesh.Peer, m mesh.Message) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.cut[n.self] || n.c.cut[to.Member] {
		return
	}
	for _, o := range n.c.nodes {
		if o.self == to.Member {
			o.HandleMessage(n.self, m)
		}
	}
}

func (n *node) PlannedMoves() []leasing.PlannedMove {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.plan
}
