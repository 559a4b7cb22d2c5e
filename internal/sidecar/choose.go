package sidecar

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// chooser selects the daemon for each request: for a sharded service the one beside the
// owner of the key, otherwise the one that is expected to answer first. It implements
// edge.Chooser.
type chooser struct {
	peers     *peers
	ownership *ownership
	suspects  *suspects
	clock     ident.Clock
	routes    func() *routes.Table // the configuration in force, nil before the first
	metrics   *metrics

	mu        sync.Mutex // guards the fields below
	estimator *balance.Estimator
	times     *balance.Times
	rng       *rand.Rand
	book      *advisory.Book // what answers to requests of this daemon said of the servers
}

// ChooseTarget implements edge.Chooser. It refuses requests that must not run, and adds to
// the others what is known of them.
func (c *chooser) ChooseTarget(r *hop.Request, tried []ident.Host) (edge.Target, bool, *errkind.Error) {
	v := c.suspects.judge(r.Fingerprint)
	if e := refusalOf(v); e != nil {
		return edge.Target{}, false, e
	}
	r.Suspicion = v.Suspicion
	if c.ownership.isSharded(r.Service) {
		t, e := c.chooseOwner(r)
		return t, false, e
	}
	return c.choosePooled(r, tried)
}

// chooseOwner returns the daemon beside the server that owns the request's key.
func (c *chooser) chooseOwner(r *hop.Request) (edge.Target, *errkind.Error) {
	if r.Key == hop.NoKey {
		return edge.Target{}, errkind.New(errkind.KeyMissing, "service %q is divided by key", r.Service)
	}
	row, ok := c.ownership.ownerOf(r.Service, keyrange.Key(r.Key))
	if !ok {
		return edge.Target{}, withMoveRetryAfter(errkind.New(errkind.NoOwner, "key %d has no owner", r.Key))
	}
	host := row.Owner.Member.Host
	p, ok := c.peers.lookUp(host)
	if !ok {
		return edge.Target{}, withMoveRetryAfter(errkind.New(errkind.NoOwner, "the owner %s of key %d is not known", host, r.Key))
	}
	if !c.allows(r, p.Location.Region) {
		return edge.Target{}, elsewhere(r, p.Location.Region)
	}
	return c.targetOf(p), nil
}

// withMoveRetryAfter sets the delay after which the caller may retry while keys move.
func withMoveRetryAfter(e *errkind.Error) *errkind.Error {
	e.RetryAfter = moveRetryAfter
	return e
}

func (c *chooser) targetOf(p roster.Peer) edge.Target {
	local := p.Member.Host == c.peers.self.Host
	return edge.Target{Peer: mesh.Peer{Member: p.Member, Addr: p.Addr}, Local: local}
}

// choosePooled returns the daemon whose server is expected to answer first, out of those not
// yet tried; for a suspected request the one on which all daemons agree. The second result
// reports whether untried ones remain.
func (c *chooser) choosePooled(r *hop.Request, tried []ident.Host) (edge.Target, bool, *errkind.Error) {
	ps := c.peers.availableServers(r.Service, tried)
	known := len(ps)
	ps = slices.DeleteFunc(ps, func(p roster.Peer) bool { return !c.allows(r, p.Location.Region) })
	switch {
	case len(ps) > 0:
	case known > 0:
		return edge.Target{}, false, errkind.New(errkind.RegionNotAllowed, "none of %d backend servers of %q is in a region that route %q allows", known, r.Service, r.Route)
	default:
		e := errkind.New(errkind.BackendUnavailable, "no backend server of %q is left of those known", r.Service)
		return edge.Target{}, false, e
	}
	i := -1
	if r.Suspicion > 0 {
		i = c.trialTarget(r, ps)
	}
	if i < 0 {
		i = c.bestTarget(r, ps)
	}
	if i < 0 {
		return edge.Target{}, false, errkind.New(errkind.PeerUnreachable, "no backend server of %q can be reached", r.Service)
	}
	return c.targetOf(ps[i]), len(ps) > 1, nil
}

// trialTarget returns the index of the daemon whose server runs a suspected request, -1 if
// none can be reached.
func (c *chooser) trialTarget(r *hop.Request, ps []roster.Peer) int {
	var hosts []ident.Host
	for _, p := range ps {
		if p.UnreachableSince == 0 {
			hosts = append(hosts, p.Member.Host)
		}
	}
	t := quarantine.TrialHost(r.Fingerprint(), hosts)
	return slices.IndexFunc(ps, func(p roster.Peer) bool { return t >= 0 && p.Member.Host == hosts[t] })
}

// bestTarget returns the index of the daemon whose server is expected to answer first, -1 if
// none can be reached.
func (c *chooser) bestTarget(r *hop.Request, ps []roster.Peer) int {
	now := c.clock.Now()
	demand := balance.Demand{Route: r.Route, Bytes: len(r.Body), Deadline: r.TimeLeft(now), Choosers: c.peers.daemonCount(), LongBody: len(r.Body) >= pacedBody}
	if r.TargetTime > 0 {
		if demand.Target = r.TargetTime.Sub(now); demand.Target == 0 {
			demand.Target = -1 // has passed; zero means that there is none
		}
	}
	coldRate := c.coldRate(r.Service)
	options := make([]balance.Option, len(ps))
	for i, p := range ps {
		options[i] = balance.Option{
			Host: p.Member.Host, Instance: p.Server.Instance, Distance: c.distance(p.Location), Slots: p.Server.Slots, Limit: p.Server.Limit,
			Cold: now < p.ColdUntil, ColdRate: coldRate, Unreachable: p.UnreachableSince > 0,
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Best(now, c.rng, demand, options)
}

// coldRate returns the requests per second that a cold server of a service tolerates, zero for
// any number.
func (c *chooser) coldRate(s ident.Service) float64 {
	if t := c.routes(); t != nil {
		return t.Services[s].ColdRate
	}
	return 0
}

func (c *chooser) distance(l ident.Location) balance.Distance {
	switch own := c.peers.location; {
	case l == own:
		return balance.SameDomain
	case l.Region == own.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

// RecordSent implements edge.Chooser. It adds to the request what is known of the target's
// server.
func (c *chooser) RecordSent(t edge.Target, r *hop.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Advisory = c.book.Of(t.Peer.Member.Host)
	c.estimator.RecordSent(c.clock.Now(), t.Peer.Member.Host)
}

// RecordAnswer implements edge.Chooser.
func (c *chooser) RecordAnswer(t edge.Target, r *hop.Request, a *hop.Answer, took time.Duration) {
	now := c.clock.Now()
	c.suspects.learn(r.Fingerprint, a.Suspicion)
	if a.Failure != nil && a.Failure.Kind == errkind.RegionNotAllowed {
		c.barRegionOf(t, r)
	}
	location := c.locationOf(t)
	if location.Region != c.peers.location.Region {
		c.metrics.countRegionBytes(r.Route, location.Region, len(r.Body)+len(a.Body))
	}
	c.mu.Lock()
	if a.Failure == nil && a.ServiceTime > 0 {
		c.times.RecordService(now, r.Route, a.ServiceTime)
		if a.Load.Waiting == 0 && a.Load.Running < a.Load.Slots { // it hardly waited for a slot
			c.times.RecordWay(now, location, took-a.ServiceTime)
		}
	}
	c.book.Record(t.Peer.Member.Host, a.Advisory, a.Failure == nil)
	c.estimator.RecordEnd(now, t.Peer.Member.Host, c.outcomeOf(t, r, a, took))
	c.mu.Unlock()
	if t.Local {
		return
	}
	c.peers.recordReachability(t.Peer.Member, a.Failure == nil || a.Load.Slots > 0)
}

// LeastTime implements edge.Chooser.
func (c *chooser) LeastTime(t edge.Target, r *hop.Request) (way, service time.Duration) {
	location := c.locationOf(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.times.Least(c.clock.Now(), location, r.Route)
}

// locationOf returns where a target is.
func (c *chooser) locationOf(t edge.Target) ident.Location {
	p, _ := c.peers.lookUp(t.Peer.Member.Host)
	return p.Location
}

// pacedBody is the length in bytes from which a body may wait for a slow link. Shorter ones go
// with the head of their request.
const pacedBody = 6 << 10

// outcomeOf returns what an answer that arrived after a time says of the server and of the
// way to it.
func (c *chooser) outcomeOf(t edge.Target, r *hop.Request, a *hop.Answer, took time.Duration) balance.Outcome {
	o := balance.Outcome{
		Report: balance.Report{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots, Room: a.Load.Room, Pace: a.Load.Pace, LinkWait: a.Load.LinkWait},
		Route:  r.Route, ServiceTime: a.ServiceTime, Bytes: len(a.Body), Distance: c.distance(c.locationOf(t)),
	}
	answered := a.Held > 0
	if !t.Local && answered && len(r.Body) < hop.MinBudgetedBody {
		o.Way = max(took-a.Held, 0)
	}
	if a.Failure == nil {
		return o
	}
	kind := a.Failure.Kind
	forLink := kind == errkind.Overloaded && a.Load.LinkWait > 0 && len(r.Body) >= pacedBody
	o.NoVerdict = forLink || kind == errkind.Canceled || kind == errkind.CallsWithoutRoom || kind == errkind.RegionNotAllowed
	o.Failed = true
	o.Refused = kind == errkind.Overloaded || kind == errkind.DeadlineBeforeStart
	if !t.Local && !answered && kind == errkind.DeadlineAfterStart {
		o.Way = took
	}
	return o
}

// DaemonCount implements edge.Chooser.
func (c *chooser) DaemonCount() int { return c.peers.daemonCount() }

// IsSharded implements edge.Chooser.
func (c *chooser) IsSharded(s ident.Service) bool { return c.ownership.isSharded(s) }
