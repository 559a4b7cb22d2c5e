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
	relayed  map[ident.Host]roster.Entry // entries of this failure domain as last sent to the others
	told     map[ident.Host]ident.Member // processes that have received all entries since lastFull
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
// others, if this daemon is a relay. A relay that it has not sent to before receives all
// of them, and a daemon of this failure domain all that are known. At intervals everybody
// receives all again, in case a message was lost.
func (p *peers) relayEntries() {
	p.mu.Lock()
	relays := p.domainRelays()
	if !p.usesRelays() || !relay.IsRelay(relays, p.self.Host, p.location) {
		clear(p.relay.told)
		p.mu.Unlock()
		return
	}
	now := p.clock.Now()
	if now.Sub(p.relay.lastFull) >= fullRelayInterval {
		p.relay.lastFull = now
		clear(p.relay.told)
	}
	var changed, own, all []roster.Entry
	var known, newRelays, newMembers []ident.Host
	p.roster.Each(func(q *roster.Peer) {
		if q.LastHeard == 0 || now.Sub(q.LastHeard) > relayedAge || q.UnreachableSince > 0 {
			return
		}
		host, inDomain := q.Member.Host, q.Location == p.location
		all = append(all, q.Entry)
		if inDomain {
			own = append(own, q.Entry)
			if !sameState(p.relay.relayed[host], q.Entry) {
				p.relay.relayed[host] = q.Entry
				changed = append(changed, q.Entry)
			}
		}
		switch {
		case host == p.self.Host, !inDomain && !relay.IsRelay(relays, host, q.Location):
		case p.relay.told[host] == q.Member:
			if !inDomain {
				known = append(known, host)
			}
		case inDomain:
			newMembers = append(newMembers, host)
			p.relay.told[host] = q.Member
		default:
			newRelays = append(newRelays, host)
			p.relay.told[host] = q.Member
		}
	})
	p.mu.Unlock()
	p.sendEntries(changed, known)
	p.sendEntries(own, newRelays)
	p.sendEntries(all, newMembers)
}

// sendEntries sends entries to hosts.
func (p *peers) sendEntries(es []roster.Entry, to []ident.Host) {
	if len(es) == 0 || len(to) == 0 {
		return
	}
	for _, q := range p.selectPeers(func(q *roster.Peer) bool { return slices.Contains(to, q.Member.Host) }) {
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
		if !p.roster.Merge(e, now) {
			continue
		}
		merged, _ := p.roster.Get(e.Member.Host)
		if known {
			p.suspectColdBy(old, merged)
		}
		if !known || !sameState(old.Entry, merged.Entry) {
			changed = append(changed, merged.Entry)
		}
	}
	sender, known := p.roster.Get(from.Host)
	var members []ident.Host
	if known && sender.Location != p.location && relay.IsRelay(p.domainRelays(), p.self.Host, p.location) {
		p.roster.Each(func(q *roster.Peer) {
			if q.Location == p.location && q.Member != p.self {
				members = append(members, q.Member.Host)
			}
		})
	}
	p.mu.Unlock()
	for _, e := range changed {
		p.logPeerState(e)
	}
	p.sendEntries(changed, members)
}

// sameState reports whether two entries differ only in what changes all the time.
func sameState(a, b roster.Entry) bool {
	a.Server.ColdMS, b.Server.ColdMS = min(a.Server.ColdMS, 1), min(b.Server.ColdMS, 1)
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
	monitors, all := p.monitorsOf(s, witnesses)
	return p.selectPeers(func(q *roster.Peer) bool {
		return all && q.Server.Service == s || slices.Contains(monitors, q.Member.Host)
	})
}

// monitorsOf returns the daemons that receive the heartbeats of a service's members, and
// whether all members receive them as well.
func (p *peers) monitorsOf(s ident.Service, witnesses []ident.Host) (monitors []ident.Host, all bool) {
	members := p.serviceHosts(s)
	all = len(members) <= relay.FullMeshLimit
	if len(witnesses) == 0 && !all {
		return relay.Monitors(members), false
	}
	return witnesses, all
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
