package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// Times of the messages between daemons.
const (
	peerHeartbeatInterval = 500 * time.Millisecond  // between daemons of a sharded service
	aliveTimeout          = 1200 * time.Millisecond // a daemon silent for longer does not count as alive
	greetInterval         = 500 * time.Millisecond  // between hellos to a daemon that has not answered
	helloRefreshInterval  = 10 * time.Second        // between hellos to any other daemon
	greetDuration         = 20 * time.Second        // how long greetInterval applies to a daemon that never answers
)

// peers keeps the roster of daemons up to date and exchanges control messages with the
// other daemons.
type peers struct {
	self           ident.Member
	addr           string
	location       ident.Location
	service        ident.Service // of the server beside this daemon, according to the settings
	clock          ident.Clock
	store          logservice.KeyedLog
	mesh           *mesh.Mesh
	server         *server
	gate           *admitting.Gate
	ownership      *ownership
	configs        *configFollower
	suspects       *suspects
	evacuations    *evacuations
	log            *zap.Logger
	helloRequested chan struct{} // signals that a hello to all daemons is due; capacity 1

	registrationDue chan struct{} // signals that the store may have lost the record of this host; capacity 1

	pollTime      time.Duration // maximum wait of a poll of the configuration
	watchPollTime time.Duration // the same at a daemon that watches the configuration for its region

	mu          sync.Mutex // guards the fields below
	roster      *roster.Roster
	entrySeq    uint64 // sequence number of the own entry
	leaving     bool
	foundAt     map[ident.Host]ident.Instant // when a host was first found in the store's list
	greetedAt   map[ident.Host]ident.Instant // when the last hello to a host was sent
	hostsListed bool                         // the store's list of hosts was read
	utilization float64                      // of the server's slots, a moving average
	catchUp     catchUp
	relay       relayState
	firstListed map[ident.Host]bool // the hosts of each failure domain that a new daemon greets, because they are its likely relays

	gaps []routes.Gap // as last logged; only the duty that sends messages uses it

	statesAskedAt ident.Instant // when a monitor was last asked for the states of the members
	statesAt      ident.Instant // when states last arrived
}

// requestHello makes sendMessages send a hello to all daemons soon, because the own entry
// has changed.
func (p *peers) requestHello() {
	select {
	case p.helloRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// announceLeave announces to all daemons that this one will stop soon.
func (p *peers) announceLeave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.requestHello()
}

// ownEntry returns the roster entry of this daemon, with the next sequence number.
func (p *peers) ownEntry() roster.Entry {
	s := p.server.rosterEntry()
	if s.Instance.ID == "" {
		s.Service = p.service // expected, until the server reports itself
	}
	keys := p.ownership.keyCount(s.Service, p.self.Host)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entrySeq++
	return roster.Entry{
		Member: p.self, Seq: p.entrySeq, Addr: p.addr, Location: p.location, Server: s,
		Leaving: p.leaving, Utilization: p.utilization, Keys: keys, ConfigVersion: uint64(p.configs.Version()),
	}
}

// sendMessages is the duty that sends hellos, peer heartbeats, consents, reports of suspected
// requests, and requests for the configuration.
func (p *peers) sendMessages(ctx context.Context) error {
	ticker := time.NewTicker(peerHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.helloRequested:
			p.mergeEntry(p.ownEntry())
			p.sendHello(func(q roster.Peer, _ ident.Instant) bool { return p.speaksTo(&q) }, false)
		case <-p.suspects.changed:
			p.sendSuspects()
		case <-ticker.C:
			p.sampleUtilization()
			p.mergeEntry(p.ownEntry())
			p.sendHello(p.helloIsDue, true)
			p.sendPeerHeartbeats()
			p.sendReadRequest()
			p.relayEntries()
			p.sendConsents()
			p.requestConfig()
			p.logGaps()
			p.repeatEvacuation()
			p.checkEvacuated()
			p.suspects.deleteOld(p.daemonCount())
		}
	}
}

// mergeEntry merges the entry of this daemon into the roster.
func (p *peers) mergeEntry(e roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Merge(e, p.clock.Now())
}

// helloIsDue reports whether to send a hello to a peer now. A peer that this daemon has
// never heard from gets one every greetInterval for the time greetDuration; after that,
// and for any other peer, the interval is helloRefreshInterval.
func (p *peers) helloIsDue(q roster.Peer, now ident.Instant) bool {
	since := now.Sub(p.greetedAt[q.Member.Host])
	if !p.speaksTo(&q) && (q.LastHeard > 0 || !p.firstListed[q.Member.Host] && now.Sub(p.foundAt[q.Member.Host]) < directGreetDelay) {
		return false
	}
	if q.LastHeard == 0 {
		return since >= greetInterval && now.Sub(p.foundAt[q.Member.Host]) < greetDuration || since >= helloRefreshInterval
	}
	return since >= helloRefreshInterval
}

// sendHello sends the own entry to the peers that a filter selects. If reply is set, it
// asks those that this daemon has never heard from for their entries.
func (p *peers) sendHello(to func(roster.Peer, ident.Instant) bool, reply bool) {
	now := p.clock.Now()
	p.mu.Lock()
	var chosen []roster.Peer
	p.roster.Each(func(q *roster.Peer) {
		if q.Member.Host != p.self.Host && to(*q, now) {
			chosen = append(chosen, *q)
			p.greetedAt[q.Member.Host] = now
		}
	})
	p.mu.Unlock()
	if len(chosen) == 0 {
		return
	}
	e := p.ownEntry()
	for _, q := range chosen {
		p.send(q.Entry, typeHello, hello{Entry: e, WantReply: reply && q.LastHeard == 0})
	}
}

// selectPeers returns the entries of the other daemons that a filter selects.
func (p *peers) selectPeers(filter func(*roster.Peer) bool) []roster.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []roster.Entry
	p.roster.Each(func(q *roster.Peer) {
		if q.Member.Host != p.self.Host && filter(q) {
			out = append(out, q.Entry)
		}
	})
	return out
}

// sendTableUpdate sends an ownership table to the hosts that it gives keys to.
func (p *peers) sendTableUpdate(hosts []ident.Host, g tableUpdate) {
	for _, q := range p.selectPeers(func(q *roster.Peer) bool { return slices.Contains(hosts, q.Member.Host) }) {
		p.send(q, typeTableUpdate, g)
	}
}

// send sends a control message to a daemon. It does not retry: a lost message is made up
// for by the next one of its kind.
func (p *peers) send(to roster.Entry, kind string, message any) {
	data, err := codec.Marshal(message)
	if err != nil {
		p.log.Error("message_not_encoded", zap.String("type", kind), zap.Error(err))
		return
	}
	p.mesh.Send(mesh.Peer{Addr: to.Addr}, mesh.Message{Type: kind, Data: data})
}

// HandleControl implements mesh.ControlHandler.
func (p *peers) HandleControl(from ident.Member, m mesh.Message) {
	var err error
	switch m.Type {
	case typeHello:
		err = decodeThen(m.Data, func(h hello) { p.handleHello(h) })
	case typePeerHeartbeat:
		err = decodeThen(m.Data, func(q peerHeartbeat) { p.handlePeerHeartbeat(from, q) })
	case typeConfig:
		err = decodeThen(m.Data, func(d configDocument) { p.configs.applyDocument(d.Config, string(from.Host)) })
	case typeSupport:
		err = decodeThen(m.Data, func(u support) { p.ownership.recordSupport(u.Service, from.Host, u.Seq) })
	case typeConsent:
		err = decodeThen(m.Data, func(c consent) { p.ownership.recordConsent(c.Service, from.Host, c.Suspicion) })
	case typeTableUpdate:
		err = decodeThen(m.Data, func(g tableUpdate) { p.ownership.handleTableUpdate(from.Host, g) })
	case typeReadRequest:
		err = decodeThen(m.Data, func(r readRequest) { p.handleReadRequest(from, r) })
	case typeReadAnswer:
		err = decodeThen(m.Data, func(a readAnswer) { p.ownership.handleReadAnswer(from.Host, a) })
	case typeRelayedEntries:
		err = decodeThen(m.Data, func(r relayedEntries) { p.handleRelayedEntries(from, r) })
	case typeMemberStates:
		err = decodeThen(m.Data, func(s memberStates) { p.handleMemberStates(s) })
	case typeReadForward:
		err = decodeThen(m.Data, func(f readForward) { p.ownership.handleReadForward(f) })
	case typeSuspects:
		err = decodeThen(m.Data, func(r suspectReport) { p.handleSuspects(from, r) })
	case typeDeparture:
		err = decodeThen(m.Data, func(n departureNotice) { p.handleDepartureNotice(n) })
	case typeEvacuation:
		err = decodeThen(m.Data, func(n evacuationNotice) { p.handleEvacuationNotice(n, from) })
	case typeVersionHint:
		err = decodeThen(m.Data, func(h versionHint) { p.handleVersionHint(from, h) })
	}
	if err != nil {
		p.log.Warn("message_unreadable", zap.String("type", m.Type), zap.Stringer("peer", from), zap.Error(err))
	}
}

// decodeThen decodes a control message and passes it to handle. It returns the error of
// the decoding.
func decodeThen[T any](data []byte, handle func(T)) error {
	var m T
	if err := codec.Unmarshal(data, &m); err != nil {
		return err
	}
	handle(m)
	return nil
}

// handleHello merges the sender's entry into the roster. It answers with the own entry if
// the sender asks for it or is new, and with the configuration if the sender asks for it
// and has an older version.
func (p *peers) handleHello(h hello) {
	e := h.Entry
	p.mu.Lock()
	old, known := p.roster.Get(e.Member.Host)
	changed := p.roster.Merge(e, p.clock.Now())
	merged, _ := p.roster.Get(e.Member.Host)
	p.mu.Unlock()
	if changed && known {
		p.suspectColdBy(old, merged)
	}
	if changed && (!known || old.Member != e.Member || old.Server != merged.Server || old.Leaving != e.Leaving) {
		p.logPeerState(merged.Entry)
	}
	if merged.Server.State == roster.Draining && e.Server.State == roster.Ready {
		p.sendDepartureNotices(e.Member.Host)
	}
	if !known || old.Member != e.Member {
		p.handleConnected(e.Member)
	}
	if h.WantReply || !known || old.Member != e.Member {
		p.send(e, typeHello, hello{Entry: p.ownEntry()})
	}
	if h.WantConfig {
		p.sendEvacuation(func(q *roster.Peer) bool { return q.Member.Host == e.Member.Host })
	}
	if doc := p.configs.configDocument(); h.WantConfig && doc != nil && e.ConfigVersion < uint64(p.configs.Version()) {
		p.send(e, typeConfig, configDocument{Config: doc})
	}
	if p.configs.Version() == 0 {
		p.requestConfig()
	}
}

func (p *peers) logPeerState(e roster.Entry) {
	p.log.Info("peer_state", zap.Stringer("peer", e.Member), zap.Uint64("seq", e.Seq), zap.String("service", string(e.Server.Service)),
		zap.String("server", e.Server.Instance.ID), zap.Uint8("state", uint8(e.Server.State)), zap.Bool("leaving", e.Leaving))
}

// candidates returns the daemons whose servers run a service, and those that still own
// keys of it, as candidates for its keys. A candidate is ready if its server runs the
// service, takes new work, and its daemon reads the ownership tables: otherwise it would
// not learn that it has received keys.
func (p *peers) candidates(s ident.Service) []keyrange.Candidate {
	owners, witnesses := p.ownership.ownersOf(s)
	direct := p.hearsMembers(s, witnesses)
	limitUse := p.gate.LimitUse()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []keyrange.Candidate
	p.roster.Each(func(q *roster.Peer) {
		if q.Server.Service != s && !owners[q.Member.Host] {
			return
		}
		c := keyrange.Candidate{
			Owner:       keyrange.Owner{Member: q.Member, Instance: q.Server.Instance},
			Evacuated:   p.evacuations.covers(q.Location.FailureDomain),
			Ready:       q.Server.Service == s && q.Server.State == roster.Ready && !q.Leaving && (q.LogCurrent || q.Member == p.self),
			Alive:       p.isAlive(q, direct, now),
			Expected:    q.Server.Service == s,
			Slots:       q.Server.Slots,
			Utilization: q.Utilization,
			Limited:     q.Server.Limit > 0,
			Cold:        p.isBoundCold(q, now),
		}
		if q.Member == p.self {
			c.LimitUse = limitUse
		}
		out = append(out, c)
	})
	return out
}

// daemonCount returns the number of known daemons, with this one.
func (p *peers) daemonCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len()
}

// hostsAreKnown reports whether the other daemons are known, from the store or a hello.
func (p *peers) hostsAreKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostsListed || p.roster.Len() > 1
}

// lookUp returns the roster's record of a host.
func (p *peers) lookUp(h ident.Host) (roster.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Get(h)
}

// availableServers returns the daemons whose servers take new work of a service, without
// the tried hosts.
func (p *peers) availableServers(s ident.Service, tried []ident.Host) []roster.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []roster.Peer
	p.roster.Each(func(q *roster.Peer) {
		if q.Server.Service == s && q.Server.State == roster.Ready && (!q.Leaving || q.Member == p.self) && !slices.Contains(tried, q.Member.Host) && !p.evacuations.covers(q.Location.FailureDomain) {
			out = append(out, *q)
		}
	})
	return out
}

// recordReachability records in the roster whether a daemon answered a request.
func (p *peers) recordReachability(m ident.Member, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		p.roster.MarkAlive(m, p.clock.Now())
		return
	}
	p.roster.MarkUnreachable(m, p.clock.Now())
}
