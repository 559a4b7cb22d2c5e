package shaper

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/internal/duty"
)

const (
	ringPackets = 1024
	packetBytes = 32 << 10
)

// packet is a piece of the byte stream with the time at which it arrives.
type packet struct {
	data []byte
	due  time.Time
}

// shapedConn delays all bytes by the delay of its link and passes none while
// the link is cut. One goroutine for each direction moves the packets.
type shapedConn struct {
	net.Conn
	shaper   *Shaper
	link     Link
	ctx      context.Context // ends with the connection
	cancel   context.CancelFunc
	outbound *duty.Ring[packet] // if full, Write waits
	inbound  *duty.Ring[packet] // if full, receiveLoop waits and TCP holds back the far end
	unread   []byte             // rest of the packet being read; used only by the reader

	readDeadline, writeDeadline atomic.Int64 // Unix time in ns; zero means no deadline
}

// newShapedConn wraps c and starts the goroutines that move its packets.
func newShapedConn(s *Shaper, l Link, c net.Conn) *shapedConn {
	sc := &shapedConn{
		Conn:     c,
		shaper:   s,
		link:     l,
		outbound: duty.NewRing[packet](ringPackets, duty.Block),
		inbound:  duty.NewRing[packet](ringPackets, duty.Block),
	}
	sc.ctx, sc.cancel = context.WithCancel(s.group.Context())
	context.AfterFunc(sc.ctx, func() { _ = c.Close() })
	s.group.Go("send", func(context.Context) error {
		sc.sendLoop()
		return nil
	})
	s.group.Go("receive", func(context.Context) error {
		sc.receiveLoop()
		return nil
	})
	return sc
}

// sendLoop writes each outbound packet when it is due.
func (c *shapedConn) sendLoop() {
	defer c.cancel()
	for {
		select {
		case p := <-c.outbound.C():
			if !c.awaitArrival(c.ctx, p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// receiveLoop reads ahead of the caller, so that the delay of a packet starts
// when its bytes arrive.
func (c *shapedConn) receiveLoop() {
	defer c.cancel()
	for {
		buf := make([]byte, packetBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 && !c.inbound.Put(c.ctx, c.newPacket(buf[:n])) {
			return
		}
		if err != nil {
			return
		}
	}
}

// newPacket returns a packet that is due after the delay of the link.
func (c *shapedConn) newPacket(data []byte) packet {
	return packet{data: data, due: time.Now().Add(c.shaper.linkDelay(c.link))}
}

// awaitArrival waits until the packet is due and the link is open. It returns
// false if ctx ends first, and the caller then drops the packet.
func (c *shapedConn) awaitArrival(ctx context.Context, p packet) bool {
	if wait := time.Until(p.due); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return c.shaper.awaitOpen(ctx, c.link)
}

// Write queues a copy of p.
func (c *shapedConn) Write(p []byte) (int, error) {
	ctx, cancel := c.deadlineContext(&c.writeDeadline)
	defer cancel()
	data := append([]byte(nil), p...)
	if c.ctx.Err() == nil && c.outbound.Put(ctx, c.newPacket(data)) {
		return len(p), nil
	}
	return 0, c.endError()
}

// Read waits for a packet and returns bytes of it.
func (c *shapedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		ctx, cancel := c.deadlineContext(&c.readDeadline)
		defer cancel()
		select {
		case next := <-c.inbound.C():
			if !c.awaitArrival(ctx, next) {
				return 0, c.endError()
			}
			c.unread = next.data
		case <-ctx.Done():
			return 0, c.endError()
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// deadlineContext returns a context that ends at the deadline or with the
// connection, whichever is first.
func (c *shapedConn) deadlineContext(deadline *atomic.Int64) (context.Context, context.CancelFunc) {
	at := deadline.Load()
	if at == 0 {
		return c.ctx, func() {}
	}
	return context.WithDeadline(c.ctx, time.Unix(0, at))
}

// endError returns the error for an operation whose context ended.
func (c *shapedConn) endError() error {
	if c.ctx.Err() != nil {
		return net.ErrClosed
	}
	return os.ErrDeadlineExceeded
}

// Close ends the connection. Queued packets are lost.
func (c *shapedConn) Close() error {
	c.cancel()
	return nil
}

// SetDeadline sets the read and the write deadline.
func (c *shapedConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads that begin later.
func (c *shapedConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(unixNano(t))
	return nil
}

// SetWriteDeadline sets the deadline of writes that begin later.
func (c *shapedConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(unixNano(t))
	return nil
}

// unixNano returns t as Unix time in nanoseconds, or zero for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
