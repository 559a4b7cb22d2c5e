package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
)

// newRegionChooser returns a chooser on a host in region a that knows a server of the pooled
// service p and of the sharded service s on each host "REGION/N", and the tables of its routes.
func newRegionChooser(allowed ...ident.Region) (c *chooser, table *routes.Table) {
	clock := &manualClock{now: ident.Instant(time.Hour)}
	p := &peers{self: ident.Member{Host: "a/0"}, location: ident.Location{Region: "a"}, clock: clock, log: zap.NewNop(), roster: roster.New("a/0"), evacuations: newEvacuations("", time.Second, nil, clock, zap.NewNop())}
	for _, h := range []ident.Host{"a/0", "a/1", "b/0", "b/1", "c/0"} {
		p.roster.Merge(roster.Entry{
			Member: ident.Member{Host: h, Incarnation: 1}, Location: ident.Location{Region: ident.Region(h[:1])},
			Server: roster.Server{Service: "p", State: roster.Ready, Slots: 1},
		}, clock.now)
	}
	table = routes.NewTable(routes.Config{Routes: []routes.Route{{Name: "r", Regions: allowed}}})
	c = &chooser{
		peers: p, ownership: newTestOwnership(clock, "a/0"), suspects: newTestSuspects("a/0", clock), clock: clock,
		routes: func() *routes.Table { return table }, estimator: balance.NewEstimator(balance.DefaultCosts()), book: advisory.NewBook(), times: balance.NewTimes(), rng: rand.New(rand.NewPCG(1, 2)),
	}
	return c, table
}

// All servers of region a, where the requests begin, are the best choice for a request and its
// repeats, and region c is the trial host's for some; only b is allowed.
func TestRequestsStayInTheAllowedRegions(t *testing.T) {
	c, table := newRegionChooser("b")
	for n := range 40 {
		r := &hop.Request{Service: "p", Route: "r", Key: hop.NoKey, URI: string(rune('a' + n))}
		if n%2 == 1 {
			c.suspects.recordCrash(suspectedOf(1, r)) // on trial: all daemons agree on its host
		}
		var tried []ident.Host
		for range 2 {
			target, more, e := c.ChooseTarget(r, tried)
			assert.Assert(t, e == nil, "%v", e)
			assert.Equal(t, target.Peer.Member.Host[:1], ident.Host("b"))
			assert.Equal(t, more, len(tried) == 0)
			tried = append(tried, target.Peer.Member.Host)
		}
	}
	r := &hop.Request{Service: "p", Route: "r", Key: hop.NoKey}
	*table = *routes.NewTable(routes.Config{Routes: []routes.Route{{Name: "r", Regions: []ident.Region{"nowhere"}}}})
	_, _, e := c.ChooseTarget(r, nil)
	assert.Equal(t, e.Kind, errkind.RegionNotAllowed, "the newest configuration decides")
	assert.Equal(t, e.Answer().Truth, errkind.NotRun)
}

func TestKeyOwnedInAForbiddenRegionIsRefused(t *testing.T) {
	c, table := newRegionChooser("b")
	c.ownership.applyRead(encodedEntry(t, tableOwnedBy("a/1", 1), 0), 1, c.clock.Now(), c.clock.Now())
	r := &hop.Request{Service: "s", Route: "r", Key: 1}
	_, _, e := c.ChooseTarget(r, nil)
	assert.Assert(t, e != nil && e.Kind == errkind.RegionNotAllowed && e.Answer().Status == 503 && e.RetryAfter == ownerRetryAfter)
	*table = *routes.NewTable(routes.Config{Routes: []routes.Route{{Name: "r", Regions: []ident.Region{"a"}}}})
	_, _, e = c.ChooseTarget(r, nil)
	assert.Assert(t, e == nil)
}

// The daemon beside a server has a newer configuration than the sender: it refuses, and the
// sender tries no other server of that region.
func TestDaemonRefusesAndSenderLeavesTheRegion(t *testing.T) {
	c, table := newRegionChooser()
	newer := routes.NewTable(routes.Config{Routes: []routes.Route{{Name: "r", Regions: []ident.Region{"c"}}}})
	x := &executor{regions: &regionGuard{region: "a", routes: func() *routes.Table { return newer }}}
	r := &hop.Request{Service: "p", Route: "r", Key: hop.NoKey}
	target, _, _ := c.ChooseTarget(r, nil)
	assert.Equal(t, target.Peer.Member.Host[:1], ident.Host("a"))
	e := x.checkAllowed(r)
	assert.Equal(t, e.Kind, errkind.RegionNotAllowed)
	assert.Equal(t, e.Answer().Truth, errkind.NotRun)
	c.RecordSent(target, r)
	c.RecordAnswer(target, r, hop.FailedAnswer(e), time.Millisecond)
	next, _, _ := c.ChooseTarget(r, nil)
	assert.Assert(t, next.Peer.Member.Host[:1] != "a", "%v", next)
	assert.Assert(t, table.AllowsRequest("r", nil, "a"))
}

// A typing error in a region, or a region without servers, shows once in the log.
func TestGapIsLoggedOnce(t *testing.T) {
	c, table := newRegionChooser("nrth")
	core, logs := observer.New(zapcore.InfoLevel)
	p := c.peers
	p.log, p.configs = zap.New(core), &configFollower{}
	p.configs.table.Store(table)
	*table = *routes.NewTable(routes.Config{Routes: []routes.Route{{Name: "r", Regions: []ident.Region{"nrth"}, Shares: []routes.Share{{Service: "p", Weight: 1}}}}})
	p.logGaps()
	assert.Equal(t, logs.Len(), 0, "the hosts are not known yet")
	p.hostsListed = true
	p.logGaps()
	p.logGaps()
	table.Routes[0].Regions = []ident.Region{"b"}
	p.logGaps()
	assert.Equal(t, logs.FilterMessage("route_without_server").Len(), 1)
	assert.Equal(t, logs.FilterMessage("route_with_server").Len(), 1)
}
