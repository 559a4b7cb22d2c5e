package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// Times of the notices of evacuations, from the daemons that watch the configuration to all
// others. Some of these may not reach the store.
const (
	noticeRepeats  = 10 * time.Second // after a change, notices are repeated often
	noticeInterval = time.Second      // for that time
	noticeRefresh  = 10 * time.Second // between two notices later, as long as a domain is evacuated
)

// checkDelay is the time from an order to the look at what it covers: a daemon that has just
// started does not know the other hosts yet.
const checkDelay = 3 * time.Second

type domains = []ident.FailureDomain

// evacuations knows which failure domains are evacuated.
type evacuations struct {
	own       ident.FailureDomain // of this host
	applyTime time.Duration       // from the order to the last request that reaches a server
	decode    func(key string, value []byte) (d ident.FailureDomain, evacuate, ok bool, err error)
	clock     ident.Clock
	log       *zap.Logger
	metrics   *metrics
	onChange  func(c evacuation.Change, source string) // called after each change, one at a time

	domains  atomic.Pointer[map[ident.FailureDomain]bool] // the evacuated ones
	ownSince atomic.Int64                                 // since when the order to evacuate the own domain counts; zero if it is not evacuated
	refused  atomic.Int64                                 // requests refused since then

	mu        sync.Mutex // guards the fields below and serializes changes
	tracker   evacuation.Tracker
	changedAt ident.Instant
	noticedAt ident.Instant // when the last notice was sent to all
	unchecked domains       // that began to be evacuated and were not looked at by checkEvacuated
}

func newEvacuations(own ident.FailureDomain, applyTime time.Duration, decode func(string, []byte) (ident.FailureDomain, bool, bool, error), clock ident.Clock, log *zap.Logger) *evacuations {
	if decode == nil {
		decode = func(string, []byte) (ident.FailureDomain, bool, bool, error) { return "", false, false, nil }
	}
	e := &evacuations{own: own, applyTime: applyTime, decode: decode, clock: clock, log: log, onChange: func(evacuation.Change, string) {}}
	e.domains.Store(&map[ident.FailureDomain]bool{})
	return e
}

// covers reports whether a failure domain is evacuated.
func (e *evacuations) covers(d ident.FailureDomain) bool { return (*e.domains.Load())[d] }

// Domains returns the evacuated failure domains, sorted.
func (e *evacuations) Domains() []ident.FailureDomain {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Domains()
}

// refusal returns why the server beside the daemon may run no request, nil if it may.
func (e *evacuations) refusal(keyed bool) *errkind.Error {
	since := ident.Instant(e.ownSince.Load())
	if since == 0 || !evacuation.Refuses(keyed, since, e.clock.Now(), e.applyTime) {
		return nil
	}
	e.refused.Add(1)
	e.metrics.countEvacuated()
	return withMoveRetryAfter(errkind.New(errkind.Draining, "the failure domain %q is evacuated", e.own))
}

// applyRead applies what the store holds. An order of a domain that is new here may have been
// given at any time before. asked is when the store was asked.
func (e *evacuations) applyRead(n logservice.Newest, asked ident.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found domains
	for _, r := range n.Entries {
		d, evacuate, ok, err := e.decode(r.Key, r.Value)
		switch {
		case !ok:
			continue
		case err != nil:
			e.logRefused(r.Key, err)
			if _, was := e.tracker.Since(d); !was {
				continue
			}
		case !evacuate:
			continue
		}
		found = append(found, d)
	}
	if e.tracker.Contradicts(n.Next, asked) {
		told, _ := e.tracker.State()
		e.log.Warn("evacuation_offset_refused", zap.Uint64("told", uint64(told.At)), zap.Uint64("store", uint64(n.Next)))
	}
	e.apply(e.tracker.Read(found, n.Next, e.longAgo(), asked), sourceStore)
}

// applyChanges applies records of the stream. waited tells that the read waited for them, so
// that they have just been written; asked is when the read began. reread tells that the store
// has to be read anew, because another daemon has told what the store contradicts.
func (e *evacuations) applyChanges(ch logservice.Changes, waited bool, asked ident.Instant) (reread bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := e.longAgo()
	if waited {
		since = e.clock.Now()
	}
	for _, r := range ch.Entries {
		d, evacuate, ok, err := e.decode(r.Key, r.Value)
		switch {
		case !ok:
		case err != nil:
			e.logRefused(r.Key, err)
		default:
			e.apply(e.tracker.Record(d, evacuate, r.Offset, since), sourceStore)
		}
	}
	e.tracker.Advance(ch.Next)
	return e.tracker.Contradicts(ch.Next, asked)
}

// isTold reports whether another daemon knows more of the operators' stream than this one has read.
func (e *evacuations) isTold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.IsTold()
}

// longAgo returns an instant from which on any order is in force by now.
func (e *evacuations) longAgo() ident.Instant { return e.clock.Now().Add(-e.applyTime) }

// logRefused logs an order that is none. The state of its domain stays.
func (e *evacuations) logRefused(key string, err error) {
	e.log.Warn("evacuation_refused", zap.String("key", key), zap.Error(err))
}

// merge applies the state that another daemon knows, and reports whether that one knows more of
// the operators' stream.
func (e *evacuations) merge(n evacuationNotice, from ident.Member) (later bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, _ := e.tracker.State()
	since := make([]ident.Instant, min(len(n.State.Domains), evacuation.MaxDomains))
	for i := range since {
		since[i] = e.longAgo()
		if i < len(n.AgesMS) && n.AgesMS[i] >= 0 && n.AgesMS[i] < e.applyTime.Milliseconds() {
			since[i] = e.clock.Now().Add(-time.Duration(n.AgesMS[i]) * time.Millisecond)
		}
	}
	e.apply(e.tracker.Merge(n.State, since, e.clock.Now()), string(from.Host))
	after, _ := e.tracker.State()
	return after.At > before.At
}

// notice returns what other daemons are to be told, and whether they may need it.
func (e *evacuations) notice() (n evacuationNotice, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n.State, known = e.tracker.State()
	now := e.clock.Now()
	for _, d := range n.State.Domains {
		since, _ := e.tracker.Since(d)
		n.AgesMS = append(n.AgesMS, now.Sub(since).Milliseconds())
	}
	return n, known
}

// apply puts a change in force. The caller holds e.mu.
func (e *evacuations) apply(c evacuation.Change, source string) {
	since, _ := e.tracker.Since(e.own)
	e.ownSince.Store(int64(since))
	if c.Empty() {
		return
	}
	covered := make(map[ident.FailureDomain]bool)
	for _, d := range e.tracker.Domains() {
		covered[d] = true
	}
	e.domains.Store(&covered)
	e.changedAt, e.noticedAt = e.clock.Now(), 0
	e.unchecked = append(e.unchecked, c.Began...)
	e.onChange(c, source)
}

// noticeIsDue reports whether all other daemons are to be told now.
func (e *evacuations) noticeIsDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.tracker.State()
	now := e.clock.Now()
	interval := noticeRefresh
	switch {
	case !known:
		return false
	case now.Sub(e.changedAt) < noticeRepeats:
		interval = noticeInterval
	case len(s.Domains) == 0:
		return false
	}
	if e.noticedAt != 0 && now.Sub(e.noticedAt) < interval {
		return false
	}
	e.noticedAt = now
	return true
}

// repeatEvacuation tells all other daemons of the evacuations, if this daemon watches the
// configuration for them and a notice is due.
func (p *peers) repeatEvacuation() {
	if !p.isConfigWatcher() {
		return
	}
	if p.evacuations.noticeIsDue() {
		p.sendEvacuation(func(*roster.Peer) bool { return true })
	}
}

// sendEvacuation tells daemons which failure domains are evacuated, if any is or was.
func (p *peers) sendEvacuation(to func(*roster.Peer) bool) {
	n, known := p.evacuations.notice()
	if !known {
		return
	}
	for _, q := range p.selectPeers(to) {
		p.send(q, typeEvacuation, n)
	}
}

// handleEvacuationNotice applies what another daemon tells.
func (p *peers) handleEvacuationNotice(n evacuationNotice, from ident.Member) {
	if p.evacuations.merge(n, from) {
		p.configs.handleEvacuationNotice()
	}
}

// handleEvacuation logs a change of the evacuations and makes the server, the ownership and
// the other daemons follow.
func (d *Daemon) handleEvacuation(c evacuation.Change, source string) {
	for _, domain := range c.Began {
		servers, _ := d.peers.serversIn(domain)
		d.log.Info("evacuation_began", zap.String("domain", string(domain)), zap.String("source", source), zap.Int("servers", servers), zap.Int("keys", d.peers.keysIn(domain)))
		if domain == d.evacuations.own {
			d.evacuations.refused.Store(0)
			d.server.suspectCold() // a reason for an evacuation
		}
	}
	for _, domain := range c.Ended {
		servers, _ := d.peers.serversIn(domain)
		refused := int64(0)
		if domain == d.evacuations.own {
			refused = d.evacuations.refused.Load()
			d.server.holdCold()
		}
		d.log.Info("evacuation_ended", zap.String("domain", string(domain)), zap.String("source", source), zap.Int("servers", servers), zap.Int64("refused_here", refused))
	}
	d.ownership.signalReleased()
}

// dueCheck returns the domains that have been evacuated for checkDelay, once.
func (e *evacuations) dueCheck() domains {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unchecked) == 0 || e.clock.Now().Sub(e.changedAt) < checkDelay {
		return nil
	}
	due := e.unchecked
	e.unchecked = nil
	return due
}

// checkEvacuated logs orders that may be a mistake: of a domain that no known host is in, and
// those that leave a service without a server. They hold all the same.
func (p *peers) checkEvacuated() {
	for _, d := range p.evacuations.dueCheck() {
		servers, elsewhere := p.serversIn(d)
		if servers == 0 {
			p.log.Warn("evacuation_of_unknown_domain", zap.String("domain", string(d)))
		}
		for s, n := range elsewhere {
			if n == 0 && p.evacuations.covers(d) {
				p.log.Warn("evacuation_leaves_no_server", zap.String("domain", string(d)), zap.String("service", string(s)))
			}
		}
	}
}

// serversIn returns the number of known servers in a failure domain, and for each of their
// services how many servers are in no evacuated domain.
func (p *peers) serversIn(d ident.FailureDomain) (servers int, elsewhere map[ident.Service]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elsewhere = make(map[ident.Service]int)
	p.roster.Each(func(q *roster.Peer) {
		if q.Location.FailureDomain == d && q.Server.Service != "" {
			servers++
			elsewhere[q.Server.Service] = 0
		}
	})
	p.roster.Each(func(q *roster.Peer) {
		if _, ok := elsewhere[q.Server.Service]; ok && !p.evacuations.covers(q.Location.FailureDomain) {
			elsewhere[q.Server.Service]++
		}
	})
	return servers, elsewhere
}

// keysIn returns the number of keys that servers in a failure domain own.
func (p *peers) keysIn(d ident.FailureDomain) int {
	n := 0
	for _, q := range p.selectPeers(func(q *roster.Peer) bool { return q.Location.FailureDomain == d }) {
		n += p.ownership.keyCount(q.Server.Service, q.Member.Host)
	}
	return n
}
