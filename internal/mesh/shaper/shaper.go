// Package shaper delays and cuts the links between daemons, for tests and the
// benchmark. A Shaper is a mesh.LinkHook: the mesh of the dialing daemon passes
// it each new connection and uses the one that it returns, which shapes both
// directions. Cut and Delay change a link between two hosts at any time, also
// for connections that are open. Bytes keep their order, and a cut holds them
// back rather than closing the connection.
package shaper

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// Link is the pair of hosts that a connection joins.
type Link struct{ From, To ident.Host }

// reverse returns the same link seen from the other host.
func (l Link) reverse() Link { return Link{From: l.To, To: l.From} }

// Shaper holds the state of the links between all daemons of a process. It is
// safe for concurrent use.
type Shaper struct {
	group *duty.Group

	mu      sync.Mutex             // guards the fields below
	cut     map[Link]bool          // links that pass no bytes
	delay   map[Link]time.Duration // for each direction
	changed chan struct{}          // closed and replaced on each change
}

// New returns a Shaper that neither delays nor cuts any link.
func New() *Shaper {
	return &Shaper{
		group:   duty.NewGroup(context.Background()),
		cut:     make(map[Link]bool),
		delay:   make(map[Link]time.Duration),
		changed: make(chan struct{}),
	}
}

// Close ends all connections and waits for their goroutines.
func (s *Shaper) Close() error {
	s.group.Stop()
	return s.group.Wait()
}

// Cut stops all bytes between two hosts in both directions if cut is true, and
// lets them pass again if it is false. Bytes sent during the cut arrive after
// it, as in a network that loses and retransmits packets.
func (s *Shaper) Cut(a, b ident.Host, cut bool) {
	l := Link{From: a, To: b}
	s.update(func() {
		s.cut[l] = cut
		s.cut[l.reverse()] = cut
	})
}

// Delay sets the one-way delay between two hosts, for both directions.
func (s *Shaper) Delay(a, b ident.Host, d time.Duration) {
	l := Link{From: a, To: b}
	s.update(func() {
		s.delay[l] = d
		s.delay[l.reverse()] = d
	})
}

// update applies f to the links and wakes those who wait in awaitOpen.
func (s *Shaper) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Shaper) linkDelay(l Link) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay[l]
}

// awaitOpen waits while the link is cut. It returns false if ctx has ended.
func (s *Shaper) awaitOpen(ctx context.Context, l Link) bool {
	for {
		s.mu.Lock()
		cut, changed := s.cut[l], s.changed
		s.mu.Unlock()
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// WrapConn implements mesh.LinkHook. It returns c unchanged if the host of the
// peer is not known.
func (s *Shaper) WrapConn(from ident.Member, to mesh.Peer, c net.Conn) (net.Conn, error) {
	if to.Member.Host == "" {
		return c, nil
	}
	return newShapedConn(s, Link{From: from.Host, To: to.Member.Host}, c), nil
}
