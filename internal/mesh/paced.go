package mesh

import (
	"io"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
)

// PacedBody is the body of a stream on a mesh with UnpacedBytes set: the peer sends no more of
// it than was granted. The bodies of both sides of a stream implement it.
type PacedBody interface {
	io.Reader
	// Grant allows the peer to send so many more bytes. It has no effect on an old peer.
	Grant(bytes int)
	// StopBody makes pending and later reads fail with err unless the body has arrived.
	StopBody(err error)
}

// Grant implements PacedBody.
func (s *stream) Grant(bytes int) {
	s.mu.Lock()
	ended := s.bodyEnded || s.err != nil || !s.c.paced
	if !ended {
		s.receiveWindow += bytes
	}
	s.mu.Unlock()
	if !ended {
		s.c.sendWindow(s.id, bytes)
	}
}

// StopBody implements PacedBody.
func (s *stream) StopBody(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bodyEnded && s.err == nil {
		s.err = err
	}
	s.cond.Broadcast()
}

// UnpacedBytes returns the length of a body up to which it belongs into the head of a message
// to a peer; ok is false if there is no limit of the links. Without a connection, when the
// link of the peer is not known, it returns the least limit that peers have.
func (m *Mesh) UnpacedBytes(to Peer) (bytes int, ok bool) {
	l := m.linkTo(to.Addr)
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c == nil || !c.alive() {
		return linkroom.MinUnpaced, true
	}
	return c.unpacedBytes()
}

// unpacedBytes is UnpacedBytes of the connection.
func (c *conn) unpacedBytes() (bytes int, ok bool) {
	own, peer := c.cfg.UnpacedBytes, c.peerUnpaced
	if own == 0 || peer == 0 {
		return own + peer, own+peer > 0
	}
	return min(own, peer), true
}

// UnpacedBytes returns the length of a body up to which it belongs into the head of the
// answer; ok is false if there is no limit of the links.
func (ss *serverStream) UnpacedBytes() (bytes int, ok bool) { return ss.c.unpacedBytes() }

// sendPace spaces the chunks of the bodies that all connections of a mesh send. Nil spaces
// nothing.
type sendPace struct {
	mu   sync.Mutex // guards pace
	pace *linkroom.Pace
}

// newSendPace returns the pace of a link whose rate is given in bytes per second; nil for zero.
func newSendPace(rate float64) *sendPace {
	if rate == 0 {
		return nil
	}
	return &sendPace{pace: linkroom.NewPace(rate)}
}

// await waits until the link has room for a chunk of s, or the sending half of s ends.
func (p *sendPace) await(s *stream, bytes int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	wait := p.pace.Take(ident.Instant(s.c.m.now()), bytes)
	p.mu.Unlock()
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.sendCtx.Done():
	}
}
