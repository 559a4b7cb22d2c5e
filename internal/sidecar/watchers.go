package sidecar

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
)

// watchers is how many daemons of each region watch the configuration for all.
const watchers = 2

// watches reports whether this daemon is one of its region's watchers: those
// with the lowest names among the living.
func (p *peers) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	p.roster.Each(func(q *roster.Peer) {
		if q.Location.Region == p.place.Region && q.Member.Host < p.self.Host && q.UnreachableSince == 0 && q.LastHeard > 0 && !q.Leaving {
			before++
		}
	})
	return before < watchers
}

// configWait is how long a read waits for a change of the configuration.
func (p *peers) configWait() time.Duration {
	if p.watches() {
		return p.watchPoll
	}
	return p.pollTime
}

// onHint takes in that another daemon has a version in force.
func (p *peers) onHint(from ident.Member, h hint) {
	p.mu.Lock()
	p.roster.SetConfigVersion(from, h.Version)
	p.mu.Unlock()
	p.configs.hint(routes.Version(h.Version))
}

// hintConfig tells the others of a version, if this daemon watches for them.
func (p *peers) hintConfig(v routes.Version) {
	if !p.watches() {
		return
	}
	for _, q := range p.choose(func(*roster.Peer) bool { return true }) {
		p.send(q, typeHint, hint{Version: uint64(v)})
	}
}
