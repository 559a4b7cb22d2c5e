package admission

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Chains: a request whose server calls others is served only if its calls are. When these find
// no room, the server does the request's own work and then fails it. Chains learns at the
// daemon beside the server which requests are calls of what the server runs, and limits the new
// requests of a route to about what its calls have room for; the others are refused before
// they begin. Calls that fail for another reason than want of room limit nothing: they would
// fail as often for fewer requests.
//
// A call carries no mark, but it expires with its parent: while it arrives, its server runs a
// request whose deadline is not before the call's. Requests of callers come at any time.
//
// The limit is that of adaptive throttling (Beyer et al.: "Site Reliability Engineering", ch.
// 21): chainHeadroom times the runs that recently ended with room for their calls. So it
// follows the room of the calls down and up again without knowing it, and never falls below
// chainFloor of what arrives. What waits or is refused for want of a slot here does not count.

const (
	chainWindow    = 2 * time.Second       // over which runs are counted
	chainHeadroom  = 2                     // requests that may begin for each whose calls had room
	chainFloor     = 0.25                  // share of the arrivals that begins at least
	chainMinLost   = 3                     // runs lost for want of room for calls before a route is limited
	matchMin       = 10                    // requests of a route before it can be told whether they are calls
	matchMemory    = 200                   // requests of a route after which earlier ones count half
	matchShare     = 0.95                  // share of the requests of a call's route that have a parent
	matchSlack     = 10 * time.Millisecond // by which deadlines that travelled may differ
	maxChainRoutes = 1024
	minChainRetry  = 500 * time.Millisecond
	maxChainRetry  = 5 * time.Second
)

// RunID and CallID identify a run of the server and a request that was sent from its host.
type (
	RunID  uint64
	CallID uint64
)

// RunEnd is how a run of the server ended.
type RunEnd uint8

// The ends of a run.
const (
	RunWhole  RunEnd = iota // the server answered without an error of its own
	RunFailed               // it answered with an error, or not in time
	RunVoid                 // canceled, not run or lost with the server; says nothing of its calls
)

// chainRun is a request that the server runs, or a failed one whose calls are under way still.
type chainRun struct {
	route     string
	deadline  ident.Instant
	openCalls int  // calls that may be its own and are under way
	noRoom    bool // a call that may be its own found no room
	failed    bool // it has ended
}

// chainCall is a request that was sent from the host of the server while it ran others.
type chainCall struct {
	parents []RunID
	counts  bool // its route is one of calls
}

// chainRoute holds the counts of one route, decayed over chainWindow.
type chainRoute struct {
	asked     float64 // requests that were refused for their calls, and runs that began
	roomy     float64 // runs that ended and whose calls had room
	lost      float64 // runs that failed with a call that had none
	credit    float64 // part of a request that may begin; one begins when it reaches 1
	updatedAt ident.Instant

	sent, matched float64 // requests of the route sent from this host; those with a parent
}

func (r *chainRoute) decay(now ident.Instant) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / chainWindow.Seconds())
		r.asked, r.roomy, r.lost = r.asked*factor, r.roomy*factor, r.lost*factor
		r.updatedAt = now
	}
}

// share returns the share of the arrivals that may begin; the next one counts as well.
func (r *chainRoute) share() float64 {
	if r.lost < chainMinLost {
		return 1
	}
	return min(max(chainHeadroom*r.roomy/(r.asked+1), chainFloor), 1)
}

// Chains holds the runs of the server beside the daemon and the requests sent from its host. It
// is not safe for concurrent use.
type Chains struct {
	lastRun  RunID
	lastCall CallID
	runs     map[RunID]*chainRun
	calls    map[CallID]chainCall
	routes   map[string]*chainRoute
}

// NewChains returns chains without runs.
func NewChains() *Chains {
	return &Chains{runs: make(map[RunID]*chainRun), calls: make(map[CallID]chainCall), routes: make(map[string]*chainRoute)}
}

// routeOf returns the counts of a route. All routes beyond maxChainRoutes share one.
func (c *Chains) routeOf(name string) *chainRoute {
	r := c.routes[name]
	if r == nil && len(c.routes) >= maxChainRoutes {
		name = ""
		r = c.routes[name]
	}
	if r == nil {
		r = &chainRoute{}
		c.routes[name] = r
	}
	return r
}

// Admit reports whether a new request of a route may begin, as far as its calls are concerned.
// If not, it returns when the room that there is will be free of those that were refused in
// the last second.
func (c *Chains) Admit(route string, now ident.Instant) (ok bool, retryAfter time.Duration) {
	r := c.routeOf(route)
	r.decay(now)
	share := r.share()
	if share >= 1 {
		r.credit = 0
		return true, 0
	}
	if r.credit += share; r.credit >= 1 {
		r.credit--
		return true, 0
	}
	r.asked++
	retry := time.Duration((1 - share) / share * float64(time.Second))
	return false, min(max(retry, minChainRetry), maxChainRetry)
}

// BeginRun records that the server begins to run a request.
func (c *Chains) BeginRun(route string, deadline, now ident.Instant) RunID {
	r := c.routeOf(route)
	r.decay(now)
	r.asked++
	c.lastRun++
	c.runs[c.lastRun] = &chainRun{route: route, deadline: deadline}
	return c.lastRun
}

// EndRun records that a run has ended. A failed run whose calls are under way still counts once
// these have ended.
func (c *Chains) EndRun(id RunID, end RunEnd, now ident.Instant) {
	run := c.runs[id]
	if run == nil {
		return
	}
	if run.failed = end == RunFailed; run.failed && run.openCalls > 0 && !run.noRoom {
		return
	}
	delete(c.runs, id)
	if end != RunVoid {
		c.count(run, now)
		return
	}
	r := c.routeOf(run.route)
	r.decay(now)
	r.asked = max(r.asked-1, 0)
}

// count counts a run that has ended.
func (c *Chains) count(run *chainRun, now ident.Instant) {
	r := c.routeOf(run.route)
	r.decay(now)
	if run.failed && run.noRoom {
		r.lost++
		return
	}
	r.roomy++
}

// BeginCall records that a request is sent from the host, which may be a call of what the
// server runs.
func (c *Chains) BeginCall(route string, deadline ident.Instant) CallID {
	c.lastCall++
	var call chainCall
	for id, run := range c.runs {
		if !run.failed && run.deadline.Add(matchSlack) >= deadline {
			call.parents = append(call.parents, id)
		}
	}
	r := c.routeOf(route)
	r.sent++
	if len(call.parents) > 0 {
		r.matched++
	}
	if r.sent >= matchMemory {
		r.sent, r.matched = r.sent/2, r.matched/2
	}
	call.counts = r.sent >= matchMin && r.matched >= matchShare*r.sent
	if call.counts && len(call.parents) > 0 {
		for _, p := range call.parents {
			c.runs[p].openCalls++
		}
		c.calls[c.lastCall] = call
	}
	return c.lastCall
}

// EndCall records that a request sent from the host has ended. noRoom says that it failed for
// want of room.
func (c *Chains) EndCall(id CallID, noRoom bool, now ident.Instant) {
	call, ok := c.calls[id]
	if !ok {
		return
	}
	delete(c.calls, id)
	for _, p := range call.parents {
		run := c.runs[p]
		if run == nil {
			continue
		}
		run.openCalls--
		run.noRoom = run.noRoom || noRoom
		if run.failed && (run.noRoom || run.openCalls == 0) {
			delete(c.runs, p)
			c.count(run, now)
		}
	}
}
