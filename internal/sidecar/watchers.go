package sidecar

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
)

// watchersPerRegion is the number of daemons in each region that watch the configuration
// for all: their polls are short, so that they notice a new version soon after an outage
// of the store, and they announce it to the other daemons.
const watchersPerRegion = 2

// isConfigWatcher reports whether this daemon is one of its region's watchers: those with
// the lowest host names among the reachable daemons that are not leaving.
func (p *peers) isConfigWatcher() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	p.roster.Each(func(q *roster.Peer) {
		if q.Location.Region == p.location.Region && q.Member.Host < p.self.Host && q.UnreachableSince == 0 && q.LastHeard > 0 && !q.Leaving {
			before++
		}
	})
	return before < watchersPerRegion
}

// configPollTime returns how long a poll waits for a change of the configuration.
func (p *peers) configPollTime() time.Duration {
	if p.isConfigWatcher() {
		return p.watchPollTime
	}
	return p.pollTime
}

// handleVersionHint records that another daemon has a configuration version in force.
func (p *peers) handleVersionHint(from ident.Member, h versionHint) {
	p.mu.Lock()
	p.roster.SetConfigVersion(from, h.Version)
	p.mu.Unlock()
	p.configs.handleVersionHint(routes.Version(h.Version))
}

// sendVersionHint announces a configuration version to all other daemons, if this daemon
// is a watcher.
func (p *peers) sendVersionHint(v routes.Version) {
	if !p.isConfigWatcher() {
		return
	}
	for _, q := range p.selectPeers(func(*roster.Peer) bool { return true }) {
		p.send(q, typeVersionHint, versionHint{Version: uint64(v)})
	}
}
