package sidecar

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const (
	configRequestInterval = 500 * time.Millisecond // to one peer at a time, since a configuration document takes tens of kilobytes

	// storeReadGrace is how long a daemon that has a configuration relies on the store
	// for a newer one before it asks a peer. It covers several reads, among them one
	// that is delayed by the backoff of earlier reads.
	storeReadGrace = time.Second
)

// catchUp decides when a daemon requests the configuration from a peer. As a rule the
// daemon reads it from the store.
type catchUp struct {
	behindSince ident.Instant // when a peer was first known to have a newer version; zero if none has
	lastRequest ident.Instant
	peerIndex   int // index of the next peer to ask, modulo the number of candidates
}

// choosePeer returns the peer to ask now, given the daemon's own version and region.
// Peers with a newer version are asked in turn, those of the own region first. It
// returns false if no peer has a newer version or it is too early to ask.
func (c *catchUp) choosePeer(own uint64, region string, peers []roster.Entry, now ident.Instant) (roster.Entry, bool) {
	var near, far []roster.Entry
	for _, e := range peers {
		switch {
		case e.ConfigVersion <= own:
		case string(e.Location.Region) == region:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	options := append(near, far...)
	if len(options) == 0 {
		c.behindSince, c.peerIndex = 0, 0
		return roster.Entry{}, false
	}
	if c.behindSince == 0 {
		c.behindSince = now
	}
	if own > 0 && now.Sub(c.behindSince) < storeReadGrace || c.lastRequest > 0 && now.Sub(c.lastRequest) < configRequestInterval {
		return roster.Entry{}, false
	}
	c.lastRequest = now
	c.peerIndex++
	return options[(c.peerIndex-1)%len(options)], true
}

// requestConfig asks a peer for its configuration if that is newer than the own one.
func (p *peers) requestConfig() {
	known := p.selectPeers(func(q *roster.Peer) bool { return q.LastHeard > 0 && q.UnreachableSince == 0 })
	p.mu.Lock()
	to, ok := p.catchUp.choosePeer(uint64(p.configs.Version()), string(p.location.Region), known, p.clock.Now())
	p.mu.Unlock()
	if ok {
		p.send(to, typeHello, hello{Entry: p.ownEntry(), WantConfig: true})
	}
}
