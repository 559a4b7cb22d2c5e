package balance

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Distance is the distance of a backend server from the caller.
type Distance uint8

// The distances, nearest first.
const (
	SameDomain Distance = iota // the caller's failure domain
	SameRegion
	OtherRegion
)

// Costs sets the components of an estimate.
type Costs struct {
	CrossDomain        time.Duration // round trip to another failure domain of the region
	RegionRoundTrip    time.Duration // round trip to another region
	CrossRegion        time.Duration // the same with the price of its traffic, for requests without a target
	CrossRegionPerKB   time.Duration // gain in time that is worth the traffic of 1,000 bytes between regions
	DefaultServiceTime time.Duration // assumed service time of a request
	Failure            time.Duration // what a failed request costs its caller
	ReportHalfLife     time.Duration // age at which a load report counts half
	RefusalHalfLife    time.Duration // age at which a refusal counts half
	DelayHalfLife      time.Duration // age at which a delay on the way counts half
	RetryInterval      time.Duration // time between two requests to an unreachable server
}

// DefaultCosts returns the costs of a deployment with 30 ms between regions.
func DefaultCosts() Costs {
	return Costs{
		CrossDomain:        5 * time.Millisecond,
		RegionRoundTrip:    60 * time.Millisecond,
		CrossRegion:        90 * time.Millisecond,
		CrossRegionPerKB:   10 * time.Millisecond,
		DefaultServiceTime: 100 * time.Millisecond,
		Failure:            400 * time.Millisecond,
		ReportHalfLife:     time.Second,
		RefusalHalfLife:    time.Second,
		DelayHalfLife:      time.Second,
		RetryInterval:      time.Second,
	}
}

// Option is one server that may run a request.
type Option struct {
	Host        ident.Host
	Instance    roster.Instance
	Distance    Distance
	Slots       int
	Limit       float64 // requests per second that it accepts; zero if it states no limit
	Cold        bool    // started recently and still slow
	ColdRate    float64 // requests per second that it tolerates while cold; zero means any number
	Unreachable bool    // a call failed, and no sign of life has arrived since
}

// limit returns the requests per second that the server accepts now, zero without a limit.
func (o *Option) limit() float64 {
	switch {
	case !o.Cold || o.ColdRate == 0:
		return o.Limit
	case o.Limit == 0:
		return o.ColdRate
	}
	return min(o.Limit, o.ColdRate)
}

// Report is what the daemon beside a server says of its load with an answer.
type Report struct {
	Running, Waiting, Slots int
	Room                    float64       // requests at once that the server takes well; zero if unknown
	Pace                    float64       // service time now relative to the usual one; zero if unknown
	LinkWait                time.Duration // that a long body waits for the link of the server's host
}

// Outcome is the end of a request.
type Outcome struct {
	Failed      bool
	NoVerdict   bool // says nothing of how the server runs requests, only what its report says
	Refused     bool // not run for lack of room; implies Failed
	Distance    Distance
	Report      Report
	Route       string
	ServiceTime time.Duration // zero if unknown
	Way         time.Duration // spent on the way there and back, or at least that if no answer came; zero if unknown
	Bytes       int           // of the answer's body
}

// observation is what this daemon observed of one server.
type observation struct {
	instance    roster.Instance // that slowness, failureRate and refusalRate are of
	inFlight    int             // requests of this daemon
	othersUsage float64         // slots in use and waiting requests of other daemons, as last reported
	room, pace  float64         // as last reported
	linkWait    float64         // as last reported, in seconds
	reportedAt  ident.Instant
	delay       float64 // smoothed time on the way beyond that of its distance, in seconds, at delayedAt
	delayedAt   ident.Instant
	slowness    float64 // mean of its service times, each divided by the mean of all servers for the route
	failureRate float64 // smoothed fraction of failed requests
	refusalRate float64 // smoothed fraction of requests that it had no room for, at refusedAt
	refusedAt   ident.Instant
	lastSent    ident.Instant
}

// routeStats is what this daemon learned of a route.
type routeStats struct {
	serviceTime float64 // mean over all servers, in seconds
	answerBytes float64 // mean length of the answers' bodies
}

// Estimator chooses the server that is expected to answer first, based on the
// load, service times and failures that answers report. It is not safe for
// concurrent use.
type Estimator struct {
	costs        Costs
	observations map[ident.Host]*observation
	routes       map[string]*routeStats
	slowdown     float64 // mean of slowdown over all reports

	candidates []candidate  // of the choice in progress; kept for its memory
	drawn      []*candidate // those of them that are compared
}

// NewEstimator returns an estimator without observations.
func NewEstimator(c Costs) *Estimator {
	return &Estimator{costs: c, observations: make(map[ident.Host]*observation), routes: make(map[string]*routeStats), slowdown: 1}
}

func (e *Estimator) observationOf(h ident.Host) *observation {
	s := e.observations[h]
	if s == nil {
		s = &observation{slowness: 1}
		e.observations[h] = s
	}
	return s
}

// setInstance makes an observation that of an instance. What a former one answered says nothing
// of how another runs requests, and one that is chosen no more would never disprove it.
func (s *observation) setInstance(i roster.Instance) {
	if s.instance != i {
		s.instance, s.slowness, s.failureRate, s.refusalRate = i, 1, 0, 0
	}
}

// slowdownAt returns the factor by which a server's service time grows with its use, the
// requests that it has per slot.
func slowdownAt(use float64) float64 { return 1 + use*use }

// maxReportedUse bounds the use of a report in the mean of slowdown.
const maxReportedUse = 2

// decay returns the weight of an observation at an age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// capacity returns how many requests at once an option takes well.
func (e *Estimator) capacity(o *Option, s *observation) float64 {
	c := float64(max(o.Slots, 1))
	if s.room > 0 {
		c = min(c, max(s.room, 1))
	}
	if limit := o.limit(); limit > 0 {
		// By Little's law, a limit is as good as the slots that its requests occupy.
		c = min(c, limit*e.costs.DefaultServiceTime.Seconds())
	}
	return c
}

// view is how loaded an option is expected to be.
type view struct {
	use      float64 // requests per request of its capacity
	slowness float64 // service time relative to that of all servers; one for usual differences
	expected float64 // the same with usual differences
	failures float64 // fraction of requests that fail or are refused
	delay    float64 // expected beyond the usual way there and back, in seconds
	blocked  bool    // unreachable, and not to be tried again yet
}

// viewOf returns the view of a candidate for a demand, given the mean use by other daemons of the
// servers around it. Its own report counts less with its age: other daemons have acted on
// reports of their own since, and if each daemon took a silent server for an idle one, they would all
// choose the same.
func (e *Estimator) viewOf(now ident.Instant, c *candidate, meanOthers float64, d *Demand) view {
	o, s, capacity, fresh := c.option, c.seen, c.capacity, c.fresh
	inFlight := float64(s.inFlight)
	limit := o.limit()
	if limit > 0 {
		inFlight++ // the capacity may be less than one, so that the request itself must count
	}
	v := view{
		use:      inFlight/capacity + fresh*s.othersUsage/capacity + (1-fresh)*meanOthers,
		slowness: 1,
		expected: s.slowness,
		failures: s.failureRate,
		blocked:  o.Unreachable && now.Sub(s.lastSent) < e.costs.RetryInterval,
	}
	if s.refusalRate > 0 {
		v.failures = min(v.failures+s.refusalRate*decay(now.Sub(s.refusedAt), e.costs.RefusalHalfLife), 1)
	}
	if s.delay > 0 {
		if late := s.delay * decay(now.Sub(s.delayedAt), e.costs.DelayHalfLife); late > delayThreshold.Seconds() {
			v.delay = late
		}
	}
	if d.LongBody {
		v.delay += fresh * s.linkWait
	}
	if s.slowness > slownessThreshold {
		v.slowness = s.slowness
	}
	if s.pace > 1 {
		pace := 1 + (s.pace-1)*fresh
		v.slowness, v.expected = max(v.slowness, pace), max(v.expected, pace)
	}
	if o.Cold {
		v.slowness, v.expected = 2*v.slowness, 2*v.expected
	}
	if o.Cold && o.ColdRate > 0 {
		// Nobody coordinates the daemons: each sends its part of the rate, as if the others did
		// the same.
		interval := float64(max(d.Choosers, 1)) / limit
		v.use = max((float64(s.inFlight)+fresh*s.othersUsage)/capacity, interval/max(now.Sub(s.lastSent), time.Millisecond).Seconds())
	}
	return v
}

// cost ranks options of one distance: the expected time until the answer in seconds.
func (e *Estimator) cost(o *Option, v view) float64 {
	if v.blocked {
		return math.MaxFloat64
	}
	cost := v.failures*e.costs.Failure.Seconds() + v.delay
	if o.Distance == SameRegion {
		cost += e.costs.CrossDomain.Seconds()
	}
	// A server slows down as its slots fill; beyond its slots, requests wait.
	service := e.costs.DefaultServiceTime.Seconds() * v.slowness
	return cost + service*(slowdownAt(v.use)+max(0, v.use-1))
}

// answerTime returns the time after which an option is expected to answer a request of a
// route, in seconds. Unlike cost it is absolute, so that it can be compared with a target.
func (e *Estimator) answerTime(route string, o *Option, v view) float64 {
	if v.blocked {
		return math.MaxFloat64
	}
	t := v.failures*e.costs.Failure.Seconds() + v.delay
	t += e.usualWay(o.Distance).Seconds()
	service := e.costs.DefaultServiceTime.Seconds()
	if r := e.routes[route]; r != nil && r.serviceTime > 0 {
		service = r.serviceTime
	}
	service *= v.expected
	return t + service*(slowdownAt(v.use)/e.slowdown+max(0, v.use-1))
}

// RecordSent records that a request was sent to a server.
func (e *Estimator) RecordSent(now ident.Instant, h ident.Host) {
	s := e.observationOf(h)
	s.inFlight++
	s.lastSent = now
}

// smoothing is the weight of one observation in the mean of a server.
const smoothing = 0.1

// slownessThreshold is the slowness above which a server counts as slow. Smaller
// values are mostly the normal variation of service times, and would move requests
// to other failure domains without need.
const slownessThreshold = 1.5

// routeSmoothing is the weight of one observation in the mean of a route. It is
// smaller than smoothing, so that one slow server does not make the whole route
// appear slow.
const routeSmoothing = 0.02

// RecordEnd records the end of a request.
func (e *Estimator) RecordEnd(now ident.Instant, h ident.Host, o Outcome) {
	s := e.observationOf(h)
	s.inFlight = max(s.inFlight-1, 0)
	if r := o.Report; r.Slots > 0 { // otherwise the daemon beside the server said nothing
		s.othersUsage, s.reportedAt = max(float64(r.Running+r.Waiting-s.inFlight), 0), now
		s.room, s.pace, s.linkWait = r.Room, r.Pace, r.LinkWait.Seconds()
		use := min(float64(r.Running+r.Waiting)/float64(r.Slots), maxReportedUse)
		e.slowdown += routeSmoothing * (slowdownAt(use) - e.slowdown)
	}
	e.recordDelay(now, s, o)
	if o.NoVerdict {
		return
	}
	refused := 0.0
	if o.Refused {
		refused = 1
	}
	s.refusalRate *= decay(now.Sub(s.refusedAt), e.costs.RefusalHalfLife)
	s.refusalRate, s.refusedAt = s.refusalRate+smoothing*(refused-s.refusalRate), now
	if o.Failed {
		if !o.Refused {
			s.failureRate += smoothing * (1 - s.failureRate)
		}
		return
	}
	s.failureRate -= smoothing * s.failureRate
	mean := e.updateRoute(o)
	if o.ServiceTime > 0 {
		s.slowness += smoothing * (o.ServiceTime.Seconds()/mean - s.slowness)
	}
}

// delayThreshold is the delay above which a way counts as delayed. Less is the normal
// variation of a network and of the daemons' own work.
const delayThreshold = 20 * time.Millisecond

// delaySmoothing is the weight of one observation in the delay of a way. A slow host or a full
// link delays every message for seconds, so that few observations suffice.
const delaySmoothing = 0.3

// recordDelay adds the time on the way of an outcome to the delay of a server's daemon: its
// host may be short of processor time, or the link to it full. Neither shows in its reports.
func (e *Estimator) recordDelay(now ident.Instant, s *observation, o Outcome) {
	if o.Way == 0 {
		return
	}
	s.delay *= decay(now.Sub(s.delayedAt), e.costs.DelayHalfLife)
	s.delayedAt = now
	x := max(o.Way-e.usualWay(o.Distance), 0).Seconds()
	if o.Failed && x < s.delay {
		return // no answer came: the way may have taken longer
	}
	s.delay += delaySmoothing * (x - s.delay)
}

// usualWay returns the time there and back at a distance.
func (e *Estimator) usualWay(d Distance) time.Duration {
	switch d {
	case SameRegion:
		return e.costs.CrossDomain
	case OtherRegion:
		return e.costs.RegionRoundTrip
	}
	return 0
}

// updateRoute adds an answer to the means of its route and returns the new mean service time
// in seconds.
func (e *Estimator) updateRoute(o Outcome) float64 {
	r := e.routes[o.Route]
	if r == nil {
		r = &routeStats{answerBytes: float64(o.Bytes)}
		e.routes[o.Route] = r
	}
	r.answerBytes += routeSmoothing * (float64(o.Bytes) - r.answerBytes)
	if o.ServiceTime > 0 {
		if r.serviceTime == 0 {
			r.serviceTime = o.ServiceTime.Seconds()
		}
		r.serviceTime += routeSmoothing * (o.ServiceTime.Seconds() - r.serviceTime)
	}
	return r.serviceTime
}
