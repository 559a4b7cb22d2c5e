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

// cluster is a set of controllers that share a simulated log and network.
type cluster struct {
	cfg   leasing.Config
	t     *testing.T
	nodes []*node

	mu            sync.Mutex            // guards the fields below and the tables of the nodes
	logDown       bool                  // the log refuses all records
	isolated      map[ident.Member]bool // members cut off from the network and the log
	refusedWriter ident.Member          // the log refuses records of this member
	records       []record.Body
}

// node is one controller with its own ownership table. It implements the ports
// of the controller.
type node struct {
	*leasing.Controller
	cluster       *cluster
	self          ident.Member
	clock         *jumpingClock
	stop          func()
	foldedRecords int
	groups        map[ident.Member]lease.Group
	slices        map[ident.Slice]leasing.SliceInfo
	idempotency   map[ident.Slice]string // exported idempotency records
	plan          []leasing.PlannedMove
}

// jumpingClock can jump ahead, as a clock appears to do to a process that was
// paused.
type jumpingClock struct {
	*ident.MonotonicClock
	jump atomic.Int64
}

func (p *jumpingClock) Now() ident.Instant {
	return p.MonotonicClock.Now().Add(time.Duration(p.jump.Load()))
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

// startCluster starts controllers that each hold one group with one slice. The
// witnesses of a group are the next three members.
func startCluster(t *testing.T, size int) *cluster { return startClusterWith(t, size, config) }

// startClusterWith is startCluster with a given configuration.
func startClusterWith(t *testing.T, size int, cfg leasing.Config) *cluster {
	c := &cluster{t: t, cfg: cfg, isolated: map[ident.Member]bool{}}
	for i := range size {
		c.nodes = append(c.nodes, c.newNode(i, size))
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for i, n := range c.nodes {
		c.waitUntil(func() bool { return c.canHold(n, slice(i)) })
	}
	return c
}

func (c *cluster) newNode(i, size int) *node {
	n := &node{cluster: c, self: member(i), clock: &jumpingClock{MonotonicClock: ident.NewMonotonicClock()}, groups: map[ident.Member]lease.Group{}, slices: map[ident.Slice]leasing.SliceInfo{}, idempotency: map[ident.Slice]string{}}
	for g := range size {
		m := member(g)
		next := []ident.Member{member((g + 1) % size), member((g + 2) % size), member((g + 3) % size)}
		n.groups[m] = lease.Group{ID: m, Version: 1, Witnesses: next, Successors: next[:2], Claim: 1, Holder: m}
		n.slices[slice(g)] = leasing.SliceInfo{Slice: slice(g), Group: m, Assignment: 1}
	}
	n.idempotency[slice(i)] = "first"
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

func (c *cluster) waitUntil(ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("condition not met")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// canHold reports whether a request for the slice is admitted at the node
// within a second.
func (c *cluster) canHold(n *node, s ident.Slice) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, release, err := n.Hold(ctx, s)
	if err == nil {
		release()
	}
	return err == nil
}

// isolate cuts a member off from the network and the log, or reconnects it.
func (c *cluster) isolate(m ident.Member, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[m] = on
}

func (c *cluster) refuseRecords(m ident.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedWriter = m
}

func (c *cluster) setLogDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = down
}

// foldTables folds new records into the tables of all members that are not
// isolated. The caller holds mu.
func (c *cluster) foldTables() {
	for _, n := range c.nodes {
		if c.isolated[n.self] {
			continue
		}
		for ; n.foldedRecords < len(c.records); n.foldedRecords++ {
			n.applyRecord(c.records[n.foldedRecords])
		}
		n.NotifyTableChanged()
	}
}

func (n *node) applyRecord(b record.Body) {
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
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.logDown || n.cluster.isolated[n.self] || n.cluster.refusedWriter == n.self {
		return logservice.ErrUnavailable
	}
	n.cluster.records = append(n.cluster.records, bodies...)
	n.cluster.foldTables()
	return nil
}

func (n *node) LogAvailable() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.cluster.logDown
}

func (n *node) Position() ident.Offset {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return ident.Offset(n.foldedRecords)
}

func (n *node) Groups() []lease.Group {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []lease.Group
	for _, g := range n.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b lease.Group) int { return int(a.ID.Host[1]) - int(b.ID.Host[1]) })
	return out
}

func (n *node) Group(id ident.Member) (lease.Group, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	g, found := n.groups[id]
	return g, found
}

func (n *node) Slice(s ident.Slice) (leasing.SliceInfo, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	info, found := n.slices[s]
	return info, found
}

// GroupSlices is slow on purpose, so that publishing a view takes time.
func (n *node) GroupSlices(group ident.Member) []leasing.SliceInfo {
	time.Sleep(time.Millisecond)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
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
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return []byte(n.idempotency[s]), nil
}

func (n *node) ImportSlice(s ident.Slice, data []byte) error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.idempotency[s] = string(data)
	return nil
}

func (n *node) Peer(m ident.Member) (mesh.Peer, bool) { return mesh.Peer{Member: m}, true }

func (n *node) Send(to mesh.Peer, m mesh.Message) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.isolated[n.self] || n.cluster.isolated[to.Member] {
		return
	}
	for _, o := range n.cluster.nodes {
		if o.self == to.Member {
			o.HandleMessage(n.self, m)
		}
	}
}

func (n *node) PlannedMoves() []leasing.PlannedMove {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.plan
}
