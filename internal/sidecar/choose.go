package sidecar

import (
	"math/rand/v2"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// chooser finds the daemons that may run a request. It implements edge.Chooser.
type chooser struct {
	peers  *peers
	owners *owners
	clock  ident.Clock

	mu       sync.Mutex // guards the fields below
	estimate *balance.Estimator
	rng      *rand.Rand
}

// ChooseTarget implements edge.Chooser.
func (c *chooser) ChooseTarget(r *hop.Request, tried []ident.Host) (edge.Target, bool, *errkind.Error) {
	if c.owners.sharded(r.Service) {
		t, e := c.owner(r)
		return t, false, e
	}
	return c.pooled(r, tried)
}

// owner returns the daemon of the server that owns the request's key.
func (c *chooser) owner(r *hop.Request) (edge.Target, *errkind.Error) {
	if r.Key == hop.NoKey {
		return edge.Target{}, errkind.New(errkind.KeyMissing, "service %q is divided by key", r.Service)
	}
	row, ok := c.owners.owner(r.Service, keyrange.Key(r.Key))
	if !ok {
		return edge.Target{}, moving(errkind.New(errkind.NoOwner, "key %d has no owner", r.Key))
	}
	host := row.Owner.Member.Host
	p, ok := c.peers.get(host)
	if !ok {
		return edge.Target{}, moving(errkind.New(errkind.NoOwner, "the owner %s of key %d is not known", host, r.Key))
	}
	return c.target(p), nil
}

func moving(e *errkind.Error) *errkind.Error {
	e.RetryAfter = moveTime
	return e
}

func (c *chooser) target(p roster.Peer) edge.Target {
	local := p.Member.Host == c.peers.self.Host
	return edge.Target{Peer: mesh.Peer{Member: p.Member, Addr: p.Addr}, Local: local}
}

// pooled returns the server that is expected to answer first.
func (c *chooser) pooled(r *hop.Request, tried []ident.Host) (edge.Target, bool, *errkind.Error) {
	ps := c.peers.servers(r.Service, tried)
	if len(ps) == 0 {
		e := errkind.New(errkind.BackendUnavailable, "no backend server of %q is left of those known", r.Service)
		return edge.Target{}, false, e
	}
	now := c.clock.Now()
	options := make([]balance.Option, len(ps))
	for i, p := range ps {
		options[i] = balance.Option{
			Host: p.Member.Host, Distance: c.distance(p.Location), Slots: p.Server.Slots,
			Cold: now < p.ColdUntil, Unreachable: p.UnreachableSince > 0,
		}
	}
	c.mu.Lock()
	i := c.estimate.Best(now, c.rng, options)
	c.mu.Unlock()
	if i < 0 {
		return edge.Target{}, false, errkind.New(errkind.PeerUnreachable, "no backend server of %q can be reached", r.Service)
	}
	return c.target(ps[i]), len(ps) > 1, nil
}

func (c *chooser) distance(l ident.Location) balance.Distance {
	switch own := c.peers.place; {
	case l == own:
		return balance.SameDomain
	case l.Region == own.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

// RecordSent implements edge.Chooser.
func (c *chooser) RecordSent(t edge.Target, _ *hop.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimate.RecordSent(c.clock.Now(), t.Peer.Member.Host)
}

// RecordAnswer implements edge.Chooser.
func (c *chooser) RecordAnswer(t edge.Target, r *hop.Request, a *hop.Answer) {
	now := c.clock.Now()
	c.mu.Lock()
	c.estimate.RecordEnd(now, t.Peer.Member.Host, a.Failure != nil && a.Failure.Kind != errkind.Canceled, a.Load.Running, a.Load.Waiting, r.Route, a.Took)
	c.mu.Unlock()
	if t.Local {
		return
	}
	c.peers.observe(t.Peer.Member, a.Failure == nil || a.Load.Slots > 0)
}

// DaemonCount implements edge.Chooser.
func (c *chooser) DaemonCount() int { return c.peers.count() }

// IsSharded implements edge.Chooser.
func (c *chooser) IsSharded(s ident.Service) bool { return c.owners.sharded(s) }
