package sidecar

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const (
	askConfigEvery = 500 * time.Millisecond // to one peer at a time: a document takes tens of kilobytes

	// behindTime is how long a daemon that has a configuration relies on the store
	// for a newer one: several reads, and one that waits for the others' backoff.
	behindTime = time.Second
)

// catchUp decides when a daemon asks another for the configuration, which it reads
// from the store as a rule.
type catchUp struct {
	behind ident.Instant // since when a peer is known to have a newer one; zero: none has
	asked  ident.Instant
	turn   int // rotates through the peers that were not asked yet
}

// next returns the peer to ask now: one of the own region if there is any.
func (c *catchUp) next(own uint64, region string, peers []roster.Entry, now ident.Instant) (roster.Entry, bool) {
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
		c.behind, c.turn = 0, 0
		return roster.Entry{}, false
	}
	if c.behind == 0 {
		c.behind = now
	}
	if own > 0 && now.Sub(c.behind) < behindTime || c.asked > 0 && now.Sub(c.asked) < askConfigEvery {
		return roster.Entry{}, false
	}
	c.asked = now
	c.turn++
	return options[(c.turn-1)%len(options)], true
}

// askConfig asks a peer for its configuration if the own one is older.
func (p *peers) askConfig() {
	known := p.choose(func(q *roster.Peer) bool { return q.LastHeard > 0 && q.UnreachableSince == 0 })
	p.mu.Lock()
	to, ok := p.catchUp.next(uint64(p.configs.Version()), string(p.place.Region), known, p.clock.Now())
	p.mu.Unlock()
	if ok {
		p.send(to, typeHello, hello{Entry: p.own(), Want: true})
	}
}
