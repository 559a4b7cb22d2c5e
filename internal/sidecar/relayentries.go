package sidecar

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/relay"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

const (
	fullRelayInterval = 10 * time.Second // between two messages of a relay with all its entries
	relayedAge        = 12 * time.Second // a relay passes on entries of daemons that it heard more recently; more than helloRefreshInterval
	directGreetDelay  = 5 * time.Second  // after which a daemon greets a listed one directly of which no relay told it
)

// relayedEntries carries roster entries between relays, and from a relay to the daemons
// of its failure domain.
type relayedEntries struct {
	Entries []roster.Entry `codec:"e"`
}

// relayState is what a daemon keeps as a relay.
type relayState struct {
	relayed  map[ident.Host]roster.Entry // as last sent to the other failure domains
	lastFull ident.Instant
}

// usesRelays reports whether there are so many daemons that entries are relayed. The
// caller holds p.mu.
func (p *peers) usesRelays() bool { return p.roster.Len() > relay.FullMeshLimit }

// domainRelays returns the relays of each failure domain. The caller holds p.mu.
func (p *peers) domainRelays() map[ident.Location][]ident.Host {
	ds := make([]relay.Daemon, 0, p.roster.Len())
	p.roster.Each(func(q *roster.Peer) {
		self := q.Member == p.self
		ds = append(ds, relay.Daemon{
			Host: q.Member.Host, Location: q.Location,
			Reachable: self && !p.leaving || q.LastHeard > 0 && q.UnreachableSince == 0 && !q.Leaving,
		})
	})
	return relay.Relays(ds)
}

// likelyRelays returns the hosts that are the relays of their failure domains if all
// listed daemons can be reached. The caller holds p.mu.
func (p *peers) likelyRelays() map[ident.Host]bool {
	ds := make([]relay.Daemon, 0, p.roster.Len())
	p.roster.Each(func(q *roster.Peer) {
		ds = append(ds, relay.Daemon{Host: q.Member.Host, Location: q.Location, Reachable: true})
	})
	out := make(map[ident.Host]bool)
	for _, hosts := range relay.Relays(ds) {
		for _, h := range hosts {
			out[h] = true
		}
	}
	return out
}

// relayEntries sends the changed entries of this failure domain to the relays of the
// others, if this daemon is a relay. At intervals it sends all of them, and all that it
// knows to its own failure domain, in case a message was lost.
func (p *peers) relayEntries() {
	p.mu.Lock()
	relays := p.domainRelays()
	if !p.usesRelays() || !relay.IsRelay(relays, p.self.Host, p.location) {
		p.mu.Unlock()
		return
	}
	now := p.clock.Now()
	full := now.Sub(p.relay.lastFull) >= fullRelayInterval
	if full {
		p.relay.lastFull = now
	}
	var changed, all []roster.Entry
	p.roster.Each(func(q *roster.Peer) {
		if q.LastHeard == 0 || now.Sub(q.LastHeard) > relayedAge || q.UnreachableSince > 0 {
			return
		}
		all = append(all, q.Entry)
		if q.Location != p.location || !full && sameState(p.relay.relayed[q.Member.Host], q.Entry) {
			return
		}
		p.relay.relayed[q.Member.Host] = q.Entry
		changed = append(changed, q.Entry)
	})
	p.mu.Unlock()
	if len(changed) > 0 {
		p.sendEntries(changed, func(q *roster.Peer) bool {
			return q.Location != p.location && relay.IsRelay(relays, q.Member.Host, q.Location)
		})
	}
	if full {
		p.sendEntries(all, func(q *roster.Peer) bool { return q.Location == p.location })
	}
}

func (p *peers) sendEntries(es []roster.Entry, to func(*roster.Peer) bool) {
	for _, q := range p.selectPeers(to) {
		p.send(q, typeRelayedEntries, relayedEntries{Entries: es})
	}
}

// handleRelayedEntries merges the entries, and passes those that changed on to this
// failure domain if they come from another one and this daemon is a relay.
func (p *peers) handleRelayedEntries(from ident.Member, m relayedEntries) {
	p.mu.Lock()
	var changed []roster.Entry
	now := p.clock.Now()
	for _, e := range m.Entries {
		if e.Member.Host == p.self.Host {
			continue
		}
		old, known := p.roster.Get(e.Member.Host)
		if p.roster.Merge(e, now) && !(known && sameState(old.Entry, e)) {
			changed = append(changed, e)
		}
	}
	sender, known := p.roster.Get(from.Host)
	forward := len(changed) > 0 && known && sender.Location != p.location &&
		relay.IsRelay(p.domainRelays(), p.self.Host, p.location)
	p.mu.Unlock()
	for _, e := range changed {
		p.logPeerState(e)
	}
	if forward {
		p.sendEntries(changed, func(q *roster.Peer) bool { return q.Location == p.location })
	}
}

// sameState reports whether two entries differ only in what changes all the time.
func sameState(a, b roster.Entry) bool {
	a.Server.ColdMS, b.Server.ColdMS = 0, 0
	return a.Member == b.Member && a.Server == b.Server && a.Leaving == b.Leaving && a.ConfigVersion == b.ConfigVersion
}

// speaksTo reports whether this daemon sends its hellos to a peer. The caller holds p.mu.
func (p *peers) speaksTo(q *roster.Peer) bool {
	return !p.usesRelays() || q.Location == p.location
}

// heartbeatTargets returns the daemons that receive the heartbeats of a service's members:
// all members and witnesses, or with many members the witnesses only. As long as the table
// names none, the monitors take their place.
func (p *peers) heartbeatTargets(s ident.Service, witnesses []ident.Host) []roster.Entry {
	members := p.serviceHosts(s)
	if len(members) <= relay.FullMeshLimit {
		return p.selectPeers(func(q *roster.Peer) bool {
			return q.Server.Service == s || slices.Contains(witnesses, q.Member.Host)
		})
	}
	if len(witnesses) == 0 {
		witnesses = relay.Monitors(members)
	}
	return p.selectPeers(func(q *roster.Peer) bool { return slices.Contains(witnesses, q.Member.Host) })
}

// serviceHosts returns the known hosts of a service.
func (p *peers) serviceHosts(s ident.Service) []ident.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ident.Host
	p.roster.Each(func(q *roster.Peer) {
		if q.Server.Service == s {
			out = append(out, q.Member.Host)
		}
	})
	return out
}
