// Package leasing runs the lease protocol of one daemon over the mesh. Its
// inputs are control messages from peers, changes of the ownership table that
// is folded from the log, and calls to move slices. The Controller drives the
// lease state machine of package lease: it renews, witnesses and claims the
// leases of lease groups. It publishes a view of the slices that this daemon
// may serve, grants these slices to the backend server, and records claims and
// assignments in the log. Planned moves hand slices to other groups by consent
// of their holder. Invariant: a slice is served only while the lease on its
// group is valid and the backend server has accepted the slice's epoch.
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
	inboxCapacity   = 4096 // control messages; when full, the oldest is dropped, since senders repeat them
	requestCapacity = 64   // queued calls into the loop; when full, further ones are refused
)

// inboundMessage is a control message with its sender.
type inboundMessage struct {
	from ident.Member
	m    mesh.Message
}

// Controller runs the lease protocol of one daemon. A single goroutine, loop,
// owns the protocol state; the request path reads the immutable view.
type Controller struct {
	Deps
	config Config
	self   ident.Member
	clock  ident.Clock
	table  TableView

	inbox         *duty.Ring[inboundMessage]
	tableChanges  *duty.Ring[struct{}] // capacity 1: any number of changes wakes the loop once
	requests      *duty.Ring[loopRequest]
	grantRequests *duty.Ring[[]groupGrants] // capacity 1: a new request replaces a pending one
	grantResults  *duty.Ring[grantResult]
	recordJobs    *duty.Ring[recordJob]
	recordResults *duty.Ring[recordResult]

	view     atomic.Pointer[view]
	waiting  atomic.Int64
	inFlight *inFlight

	// The fields below belong to the goroutine that runs loop.
	node           *lease.Node
	groups         map[ident.Member]*heldGroup
	acceptedEpochs map[ident.Slice]ident.Epoch // latest epoch that the backend server has accepted
	moves          map[ident.Slice]*move
	announcedUntil map[ident.Slice]ident.Instant // slices announced by their previous holder; requests wait until then
	unrecorded     unrecordedReleases

	lastGrantRequest []groupGrants
}

// heldGroup is a group whose lease this daemon holds.
type heldGroup struct {
	claim          ident.Claim
	tableFloor     ident.Offset                     // the table must include all log records before this offset
	recorded       bool                             // the log contains the claim
	recordRetryAt  ident.Instant                    // earliest time of the next attempt to record the claim
	openDeadline   ident.Instant                    // the group opens at this time even if the claim is not recorded
	releasedSlices map[ident.Slice]ident.Assignment // slices that the lease does not cover, with their assignment before the release
}

// New returns a controller. The controller does nothing until Run is called.
func New(d Deps) (*Controller, error) {
	if err := d.Config.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		Deps:           d,
		config:         d.Config,
		self:           d.Self,
		clock:          d.Clock,
		table:          d.Table,
		inbox:          duty.NewRing[inboundMessage](inboxCapacity, duty.DropOldest),
		tableChanges:   duty.NewRing[struct{}](1, duty.DropOldest),
		requests:       duty.NewRing[loopRequest](requestCapacity, duty.RefuseNew),
		grantRequests:  duty.NewRing[[]groupGrants](1, duty.DropOldest),
		grantResults:   duty.NewRing[grantResult](1, duty.Block),
		recordJobs:     duty.NewRing[recordJob](1, duty.DropOldest),
		recordResults:  duty.NewRing[recordResult](1, duty.Block),
		inFlight:       newInFlight(),
		node:           lease.NewNode(d.Self, d.Config.Lease),
		groups:         map[ident.Member]*heldGroup{},
		acceptedEpochs: map[ident.Slice]ident.Epoch{},
		moves:          map[ident.Slice]*move{},
		announcedUntil: map[ident.Slice]ident.Instant{},
		unrecorded:     newUnrecordedReleases(),
	}
	c.view.Store(&view{changed: make(chan struct{})})
	return c, nil
}

// HandleMessage queues a control message for which IsMessage is true. It does
// not block.
func (c *Controller) HandleMessage(from ident.Member, m mesh.Message) {
	c.inbox.Put(context.Background(), inboundMessage{from: from, m: m})
}

// NotifyTableChanged wakes the controller after more records were folded into
// the ownership table. It does not block.
func (c *Controller) NotifyTableChanged() {
	c.tableChanges.Put(context.Background(), struct{}{})
}

// Run runs the lease protocol until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx)
	g.Go("leases", c.loop)
	g.Go("grants", c.sendGrants)
	g.Go("lease records", c.writeRecords)
	g.Go("moves", c.followMovePlan)
	return g.Wait()
}

// loop handles all events in one goroutine, which owns the lease node and the
// fields below it in Controller. It publishes a new view before it waits for
// the next event.
func (c *Controller) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.onTableChange()
	for {
		c.publishView(ctx)
		timer.Reset(c.timeUntilWake())
		select {
		case <-ctx.Done():
			return nil
		case in := <-c.inbox.C():
			c.onMessage(in)
		case <-c.tableChanges.C():
			c.onTableChange()
		case r := <-c.requests.C():
			r.apply(c)
		case r := <-c.grantResults.C():
			c.onGrantResult(r)
		case r := <-c.recordResults.C():
			c.onRecordResult(r)
		case <-timer.C:
			c.execute(c.node.Tick(c.clock.Now()))
		}
	}
}

// timeUntilWake returns the time until the lease node is due or a group opens
// without its record, and at most RetryEvery, after which writes to the log are
// retried.
func (c *Controller) timeUntilWake() time.Duration {
	now := c.clock.Now()
	wake := now.Add(c.config.RetryEvery)
	if next, ok := c.node.NextWake(); ok {
		wake = min(wake, next)
	}
	for _, g := range c.groups {
		if !g.recorded && now.Before(g.openDeadline) {
			wake = min(wake, g.openDeadline)
		}
	}
	return max(wake.Sub(now), 0)
}

func (c *Controller) onTableChange() {
	c.execute(c.node.SetGroups(c.clock.Now(), c.table.Groups()))
	c.node.SettleReleases(c.table.Position(), c.isReassigned)
}

// isReassigned reports whether the table has a later assignment of the slice
// than the one that was released.
func (c *Controller) isReassigned(r lease.Release) bool {
	info, found := c.table.Slice(r.Slice)
	return found && info.Assignment > r.Prior
}

func (c *Controller) onMessage(in inboundMessage) {
	switch in.m.Type {
	case transferType:
		c.onTransfer(in)
	case transferAckType:
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

// execute carries out the commands that the lease node returned.
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

// sendLease encodes and sends a message of the lease protocol.
func (c *Controller) sendLease(s *lease.Send) {
	name, data, err := lease.EncodeMessage(s.Message)
	if err != nil {
		c.Log.Error("lease_message_not_encoded", zap.Error(err))
		return
	}
	c.send(s.To, mesh.Message{Type: name, Data: data})
}

// send sends a message if the directory knows the peer; otherwise it drops the
// message.
func (c *Controller) send(to ident.Member, m mesh.Message) {
	if peer, ok := c.Directory.Peer(to); ok {
		c.Transport.Send(peer, m)
	}
}

func (c *Controller) onHeld(h *lease.Held) {
	g := &heldGroup{claim: h.Claim, tableFloor: h.Floor, releasedSlices: map[ident.Slice]ident.Assignment{}}
	g.recorded = c.claimRecorded(h.Group, h.Claim)
	g.openDeadline = c.clock.Now().Add(c.config.RecordTimeout)
	c.groups[h.Group] = g
	c.failReleases(h.Group, h.Claim)
	for _, r := range h.Released {
		g.releasedSlices[r.Slice] = r.Prior
		if _, moving := c.moves[r.Slice]; !moving {
			c.unrecorded.addReclaimed(r, h.Group)
		}
	}
	c.Log.Info("lease_held", zap.Stringer("group", h.Group), zap.Uint32("claim", uint32(h.Claim)),
		zap.Bool("recorded", g.recorded), zap.Int("released", len(h.Released)))
}

// claimRecorded reports whether the log contains this claim or a later one on the
// group. The first claim on a group needs no record of its own.
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
