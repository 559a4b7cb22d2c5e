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
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// Times of what daemons tell one another.
const (
	pulseEvery   = 500 * time.Millisecond // among daemons whose servers hold keys
	aliveFor     = 1200 * time.Millisecond
	greetEvery   = 500 * time.Millisecond // to daemons that have not answered
	refreshEvery = 10 * time.Second       // to all others
	greetFor     = 20 * time.Second       // how long one that never answers is greeted
)

// peers keeps the roster and speaks to the other daemons.
type peers struct {
	self    ident.Member
	addr    string
	place   ident.Location
	clock   ident.Clock
	store   logservice.KeyedLog
	mesh    *mesh.Mesh
	server  *server
	gate    *admitting.Gate
	owners  *owners
	configs *configs
	log     *zap.Logger
	wake    chan struct{} // asks for a hello to all; holds one

	pollTime  time.Duration // wait of a read for changes
	watchPoll time.Duration // the same at a daemon that watches for others

	mu      sync.Mutex // guards the fields below
	roster  *roster.Roster
	seq     uint64
	leaving bool
	found   map[ident.Host]ident.Instant // when a host was first found in the store
	greeted map[ident.Host]ident.Instant // last hello sent
	listed  bool                         // the store's list was read
	busy    float64
	catchUp catchUp
}

// changed asks for a hello to all.
func (p *peers) changed() {
	select {
	case p.wake <- struct{}{}:
	default: // one is asked for already
	}
}

// leave tells all that this daemon stops soon.
func (p *peers) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.changed()
}

// own returns what this daemon tells of itself.
func (p *peers) own() roster.Entry {
	s := p.server.entry()
	keys := p.owners.keys(s.Service, p.self.Host)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	return roster.Entry{
		Member: p.self, Seq: p.seq, Addr: p.addr, Location: p.place, Server: s,
		Leaving: p.leaving, Utilization: p.busy, Keys: keys, ConfigVersion: uint64(p.configs.Version()),
	}
}

// register is the duty that lists this daemon in the store and reads the list
// afterwards: of two that start at once, one at least finds the other.
func (p *peers) register(ctx context.Context) error {
	retry := newBackoff(firstBackoff, maxConfigBackoff)
	data, err := codec.Marshal(roster.Entry{Member: p.self, Addr: p.addr, Location: p.place})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		err := p.store.Put(ctx, logservice.HostStream, string(p.self.Host), data)
		if err == nil {
			break
		}
		retry.wait(ctx, err, p.log, "host_register")
	}
	for ctx.Err() == nil {
		n, err := p.store.Newest(ctx, logservice.HostStream)
		retry.wait(ctx, err, p.log, "host_list")
		if err == nil {
			p.takeList(n.Entries)
			break
		}
	}
	<-ctx.Done()
	return nil
}

// takeList takes in the store's list.
func (p *peers) takeList(entries []logservice.KeyedEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range entries {
		var entry roster.Entry
		if err := codec.Unmarshal(e.Value, &entry); err != nil || entry.Member.Host != ident.Host(e.Key) {
			p.log.Warn("host_record_unreadable", zap.String("host", e.Key), zap.Error(err))
			continue
		}
		if entry.Member.Host != p.self.Host && p.roster.AddListed(entry) {
			p.found[entry.Member.Host] = now
		}
	}
	p.listed = true
	p.log.Info("hosts_listed", zap.Int("hosts", len(entries)))
}

// speak is the duty that sends hellos and pulses.
func (p *peers) speak(ctx context.Context) error {
	ticker := time.NewTicker(pulseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wake:
			p.merge(p.own())
			p.sendHello(func(roster.Peer, ident.Instant) bool { return true }, false)
		case <-ticker.C:
			p.sample()
			p.merge(p.own())
			p.sendHello(p.due, true)
			p.sendPulses()
			p.sendConsents()
			p.askConfig()
		}
	}
}

// merge puts the own entry into the roster.
func (p *peers) merge(e roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Merge(e, p.clock.Now())
}

// due reports whether a peer is to be greeted: one that has not spoken, often
// and for a while; any other, now and then.
func (p *peers) due(q roster.Peer, now ident.Instant) bool {
	since := now.Sub(p.greeted[q.Member.Host])
	if q.LastHeard == 0 {
		return since >= greetEvery && now.Sub(p.found[q.Member.Host]) < greetFor || since >= refreshEvery
	}
	return since >= refreshEvery
}

// sendHello sends the own entry to the peers that a filter chooses.
func (p *peers) sendHello(to func(roster.Peer, ident.Instant) bool, reply bool) {
	now := p.clock.Now()
	p.mu.Lock()
	var chosen []roster.Peer
	p.roster.Each(func(q *roster.Peer) {
		if q.Member.Host != p.self.Host && to(*q, now) {
			chosen = append(chosen, *q)
			p.greeted[q.Member.Host] = now
		}
	})
	p.mu.Unlock()
	if len(chosen) == 0 {
		return
	}
	e := p.own()
	for _, q := range chosen {
		p.send(q.Entry, typeHello, hello{Entry: e, Reply: reply && q.LastHeard == 0})
	}
}

// choose returns the other daemons that a filter chooses.
func (p *peers) choose(filter func(*roster.Peer) bool) []roster.Entry {
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

// tellGiven tells hosts of a table that gives keys to them.
func (p *peers) tellGiven(hosts []ident.Host, g given) {
	for _, q := range p.choose(func(q *roster.Peer) bool { return slices.Contains(hosts, q.Member.Host) }) {
		p.send(q, typeGiven, g)
	}
}

// send sends a control message; one that cannot be sent is repeated by the next.
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
		var h hello
		if err = codec.Unmarshal(m.Data, &h); err == nil {
			p.onHello(h)
		}
	case typePulse:
		var q pulse
		if err = codec.Unmarshal(m.Data, &q); err == nil {
			p.onPulse(from, q)
		}
	case typeConfig:
		var d document
		if err = codec.Unmarshal(m.Data, &d); err == nil {
			p.configs.apply(d.Config, string(from.Host))
		}
	case typeSupport:
		var u support
		if err = codec.Unmarshal(m.Data, &u); err == nil {
			p.owners.supported(u.Service, from.Host, u.Seq)
		}
	case typeConsent:
		var c consent
		if err = codec.Unmarshal(m.Data, &c); err == nil {
			p.owners.consented(c.Service, from.Host, c.Suspicion)
		}
	case typeGiven:
		var g given
		if err = codec.Unmarshal(m.Data, &g); err == nil {
			p.owners.told(from.Host, g)
		}
	case typeHint:
		var h hint
		if err = codec.Unmarshal(m.Data, &h); err == nil {
			p.onHint(from, h)
		}
	}
	if err != nil {
		p.log.Warn("message_unreadable", zap.String("type", m.Type), zap.Stringer("peer", from), zap.Error(err))
	}
}

func (p *peers) onHello(h hello) {
	e := h.Entry
	p.mu.Lock()
	old, known := p.roster.Get(e.Member.Host)
	changed := p.roster.Merge(e, p.clock.Now())
	p.mu.Unlock()
	if changed && (!known || old.Member != e.Member || old.Server != e.Server || old.Leaving != e.Leaving) {
		p.log.Info("peer_state", zap.Stringer("peer", e.Member), zap.Uint64("seq", e.Seq), zap.String("service", string(e.Server.Service)),
			zap.String("server", e.Server.Instance.ID), zap.Uint8("state", uint8(e.Server.State)), zap.Bool("leaving", e.Leaving))
	}
	if h.Reply || !known || old.Member != e.Member {
		p.send(e, typeHello, hello{Entry: p.own()})
	}
	if doc := p.configs.document(); h.Want && doc != nil && e.ConfigVersion < uint64(p.configs.Version()) {
		p.send(e, typeConfig, document{Config: doc})
	}
	if p.configs.Version() == 0 {
		p.askConfig()
	}
}

// candidates returns all known daemons; those are ready whose servers may own
// keys of the service. One that cannot read the tables would not learn of keys that
// it was given.
func (p *peers) candidates(s ident.Service) []keyrange.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []keyrange.Candidate
	p.roster.Each(func(q *roster.Peer) {
		out = append(out, keyrange.Candidate{
			Owner:       keyrange.Owner{Member: q.Member, Instance: q.Server.Instance},
			Ready:       q.Server.Service == s && q.Server.State == roster.Ready && !q.Leaving && (q.LogCurrent || q.Member == p.self),
			Alive:       q.Member == p.self || now.Sub(q.LastHeard) < aliveFor,
			Slots:       q.Server.Slots,
			Utilization: q.Utilization,
		})
	})
	return out
}

// count returns the number of known daemons.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len()
}

// ready reports whether the other daemons are known.
func (p *peers) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed || p.roster.Len() > 1
}

// get returns what is known of a host.
func (p *peers) get(h ident.Host) (roster.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Get(h)
}

// servers returns the daemons whose servers take new work of a service, without
// those that were tried.
func (p *peers) servers(s ident.Service, tried []ident.Host) []roster.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []roster.Peer
	p.roster.Each(func(q *roster.Peer) {
		if q.Server.Service == s && q.Server.State == roster.Ready && (!q.Leaving || q.Member == p.self) && !slices.Contains(tried, q.Member.Host) {
			out = append(out, *q)
		}
	})
	return out
}

// observe notes whether a daemon answered.
func (p *peers) observe(m ident.Member, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		p.roster.MarkAlive(m, p.clock.Now())
		return
	}
	p.roster.MarkUnreachable(m, p.clock.Now())
}
