// Package leasing runs the lease protocol of this daemon over the mesh: it
// renews, witnesses and claims lease groups, opens their slices to the request
// path, and moves slices to other groups by consent.
package leasing

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

const (
	inboxCapacity   = 4096 // control messages; the oldest are dropped, senders repeat them
	requestCapacity = 64   // calls of Move; more are refused
)

// inbound is a control message with its sender.
type inbound struct {
	from ident.Member
	m    mesh.Message
}

// Controller is the duty that owns the lease protocol of one daemon.
type Controller struct {
	Deps
	config Config
	self   ident.Member
	clock  ident.Clock
	table  TableView

	inbox    *duty.Ring[inbound]
	table1   *duty.Ring[struct{}] // wakes the loop once for any number of changes
	requests *duty.Ring[request]
	grants   *duty.Ring[[]groupGrant] // each item replaces the one before
	granted  *duty.Ring[grantResult]
	settle   *duty.Ring[settleJob]
	settled  *duty.Ring[settleResult]

	view     atomic.Pointer[view]
	waiting  atomic.Int64
	inFlight *inFlight

	// The rest belongs to the goroutine of the loop.
	node     *lease.Node
	groups   map[ident.Member]*heldGroup
	confirms map[ident.Slice]ident.Epoch // granted by the backend server
	moves    map[ident.Slice]*move
	arrival  map[ident.Slice]ident.Instant
	settling settling

	lastGrants []groupGrant // asked for last
}

// heldGroup is a group whose lease this daemon holds.
type heldGroup struct {
	claim    ident.Claim
	floor    ident.Offset
	recorded bool          // the log has the claim
	retryAt  ident.Instant // the claim is not written again before
	openAt   ident.Instant // opened by then even when the claim is not recorded
	released map[ident.Slice]ident.Assignment
}

// New returns a controller; it does nothing until Run.
func New(d Deps) (*Controller, error) {
	if err := d.Config.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		Deps:     d,
		config:   d.Config,
		self:     d.Self,
		clock:    d.Clock,
		table:    d.Table,
		inbox:    duty.NewRing[inbound](inboxCapacity, duty.DropOldest),
		table1:   duty.NewRing[struct{}](1, duty.DropOldest),
		requests: duty.NewRing[request](requestCapacity, duty.RefuseNew),
		grants:   duty.NewRing[[]groupGrant](1, duty.DropOldest),
		granted:  duty.NewRing[grantResult](1, duty.Block),
		settle:   duty.NewRing[settleJob](1, duty.DropOldest),
		settled:  duty.NewRing[settleResult](1, duty.Block),
		inFlight: newInFlight(),
		node:     lease.NewNode(d.Self, d.Config.Lease),
		groups:   map[ident.Member]*heldGroup{},
		confirms: map[ident.Slice]ident.Epoch{},
		moves:    map[ident.Slice]*move{},
		arrival:  map[ident.Slice]ident.Instant{},
		settling: newSettling(),
	}
	c.view.Store(&view{changed: make(chan struct{})})
	return c, nil
}

// HandleMessage takes a control message; see IsMessage. It does not block.
func (c *Controller) HandleMessage(from ident.Member, m mesh.Message) {
	c.inbox.Put(context.Background(), inbound{from: from, m: m})
}

// NotifyTableChanged tells that the table has folded more records. It does not block.
func (c *Controller) NotifyTableChanged() {
	c.table1.Put(context.Background(), struct{}{})
}

// Run serves the leases until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx)
	g.Go("leases", c.loop)
	g.Go("grants", c.sendGrants)
	g.Go("lease records", c.writeRecords)
	g.Go("moves", c.followPlan)
	return g.Wait()
}

// loop is the single goroutine that owns the node.
func (c *Controller) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.onTable()
	for {
		c.publish(ctx)
		timer.Reset(c.untilWake())
		select {
		case <-ctx.Done():
			return nil
		case in := <-c.inbox.C():
			c.onMessage(in)
		case <-c.table1.C():
			c.onTable()
		case r := <-c.requests.C():
			r.apply(c)
		case r := <-c.granted.C():
			c.onGranted(r)
		case r := <-c.settled.C():
			c.onSettled(r)
		case <-timer.C:
			c.execute(c.node.Tick(c.clock.Now()))
		}
	}
}

// untilWake is the time until the node, a takeover or the log needs attention.
func (c *Controller) untilWake() time.Duration {
	now := c.clock.Now()
	wake := now.Add(c.config.RetryEvery)
	if next, ok := c.node.NextWake(); ok {
		wake = min(wake, next)
	}
	for _, g := range c.groups {
		if !g.recorded && now.Before(g.openAt) {
			wake = min(wake, g.openAt)
		}
	}
	return max(wake.Sub(now), 0)
}

func (c *Controller) onTable() {
	c.execute(c.node.SetGroups(c.clock.Now(), c.table.Groups()))
	c.node.SettleReleases(c.table.Position(), c.isSettled)
}

// isSettled reports whether the table has the slice at a later assignment.
func (c *Controller) isSettled(r lease.Release) bool {
	info, found := c.table.Slice(r.Slice)
	return found && info.Assignment > r.Prior
}

func (c *Controller) onMessage(in inbound) {
	switch in.m.Type {
	case transferName:
		c.onTransfer(in)
	case transferAckName:
		c.onTransferAck(in)
	default:
		m, err := lease.DecodeMessage(in.m.Type, in.m.Data)
		if err != nil {
			c.Log.Warn("lease_message_invalid", zap.Stringer("from", in.from), zap.Error(err))
			return
		}
		c.execute(c.node.HandleMessage(c.clock.Now(), in.from, m))
	}
}

// execute carries out the commands of the node.
func (c *Controller) execute(cmds []lease.Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case *lease.Send:
			c.sendLease(cmd)
		case *lease.Held:
			c.onHeld(cmd)
		case *lease.Lost:
			c.onLost(cmd)
		case *lease.ReleaseDone:
			c.onReleaseDone(cmd)
		}
	}
}

func (c *Controller) sendLease(s *lease.Send) {
	name, data, err := lease.EncodeMessage(s.Message)
	if err != nil {
		c.Log.Error("lease_message_not_encoded", zap.Error(err))
		return
	}
	c.send(s.To, mesh.Message{Type: name, Data: data})
}

func (c *Controller) send(to ident.Member, m mesh.Message) {
	if peer, ok := c.Directory.Peer(to); ok {
		c.Transport.Send(peer, m)
	}
}

func (c *Controller) onHeld(h *lease.Held) {
	g := &heldGroup{claim: h.Claim, floor: h.Floor, released: map[ident.Slice]ident.Assignment{}}
	g.recorded = c.claimRecorded(h.Group, h.Claim)
	g.openAt = c.clock.Now().Add(c.config.RecordTimeout)
	c.groups[h.Group] = g
	c.failReleases(h.Group, h.Claim)
	for _, r := range h.Released {
		g.released[r.Slice] = r.Prior
		if _, moving := c.moves[r.Slice]; !moving {
			c.settling.reclaim(r, h.Group)
		}
	}
	c.Log.Info("lease_held", zap.Stringer("group", h.Group), zap.Uint32("claim", uint32(h.Claim)),
		zap.Bool("recorded", g.recorded), zap.Int("released", len(h.Released)))
}

// claimRecorded reports whether the log has the claim; the first needs no
// record of its own.
func (c *Controller) claimRecorded(id ident.Member, claim ident.Claim) bool {
	g, found := c.table.Group(id)
	return found && g.Claim >= claim
}

func (c *Controller) onLost(l *lease.Lost) {
	g := c.groups[l.Group]
	if g == nil || g.claim != l.Claim {
		return
	}
	delete(c.groups, l.Group)
	c.Log.Warn("lease_lost", zap.Stringer("group", l.Group), zap.Uint32("claim", uint32(l.Claim)))
}
