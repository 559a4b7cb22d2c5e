package balance

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
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
	CrossRegion        time.Duration // round trip to another region, including the price of its traffic
	DefaultServiceTime time.Duration // assumed service time of a request
	Failure            time.Duration // what a failed request costs its caller
	ReportHalfLife     time.Duration // age at which a load report counts half
	RetryInterval      time.Duration // time between two requests to an unreachable server
}

// DefaultCosts returns the costs of a deployment with 30 ms between regions.
func DefaultCosts() Costs {
	return Costs{
		CrossDomain:        5 * time.Millisecond,
		CrossRegion:        90 * time.Millisecond,
		DefaultServiceTime: 100 * time.Millisecond,
		Failure:            400 * time.Millisecond,
		ReportHalfLife:     time.Second,
		RetryInterval:      time.Second,
	}
}

// Option is one server that may run a request.
type Option struct {
	Host        ident.Host
	Distance    Distance
	Slots       int
	Limit       float64 // requests per second that it accepts; zero if it states no limit
	Cold        bool    // started recently and still slow
	Unreachable bool    // a call failed, and no sign of life has arrived since
}

// observation is what this daemon observed of one server.
type observation struct {
	inFlight    int     // requests of this daemon
	othersUsage float64 // slots in use and waiting requests of other daemons, as last reported
	reportedAt  ident.Instant
	slowness    float64 // mean of its service times, each divided by the mean of all servers for the route
	failureRate float64 // smoothed fraction of failed requests
	lastSent    ident.Instant
}

// Estimator chooses the server that is expected to answer first, based on the
// load, service times and failures that answers report. It is not safe for
// concurrent use.
type Estimator struct {
	costs        Costs
	observations map[ident.Host]*observation
	routeMeans   map[string]float64 // mean service time of each route over all servers, in seconds
}

// NewEstimator returns an estimator without observations.
func NewEstimator(c Costs) *Estimator {
	return &Estimator{costs: c, observations: make(map[ident.Host]*observation), routeMeans: make(map[string]float64)}
}

func (e *Estimator) observationOf(h ident.Host) *observation {
	s := e.observations[h]
	if s == nil {
		s = &observation{slowness: 1}
		e.observations[h] = s
	}
	return s
}

// Best returns the index of the option that is expected to answer first, or -1 if
// there are no options. The random source breaks ties.
func (e *Estimator) Best(now ident.Instant, rng Random, options []Option) int {
	best, bestCost, ties := -1, math.Inf(1), 0
	for i, o := range options {
		switch cost := e.cost(now, o); {
		case cost < bestCost:
			best, bestCost, ties = i, cost, 1
		case cost == bestCost:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// cost returns the expected time until the answer, in seconds.
func (e *Estimator) cost(now ident.Instant, o Option) float64 {
	s := e.observationOf(o.Host)
	if o.Unreachable && now.Sub(s.lastSent) < e.costs.RetryInterval {
		return math.MaxFloat64
	}
	cost := s.failureRate * e.costs.Failure.Seconds()
	switch o.Distance {
	case SameRegion:
		cost += e.costs.CrossDomain.Seconds()
	case OtherRegion:
		cost += e.costs.CrossRegion.Seconds()
	}
	service := e.costs.DefaultServiceTime.Seconds()
	if s.slowness > slownessThreshold {
		service *= s.slowness
	}
	if o.Cold {
		service *= 2
	}
	slots := float64(max(o.Slots, 1))
	inFlight := float64(s.inFlight)
	if o.Limit > 0 {
		// By Little's law, a limit is as good as the slots that its requests occupy. That
		// may be less than one, so that the request itself must count.
		slots = min(slots, o.Limit*e.costs.DefaultServiceTime.Seconds())
		inFlight++
	}
	age := now.Sub(s.reportedAt).Seconds()
	others := s.othersUsage * math.Exp2(-age/e.costs.ReportHalfLife.Seconds())
	// A server slows down as its slots fill; beyond its slots, requests wait.
	use := (inFlight + others) / slots
	return cost + service*(1+use*use) + service*max(0, use-1)
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

// RecordEnd records the end of a request. The server's daemon reports the numbers
// of running and waiting requests; serviceTime is the service time of the request,
// or zero if it is unknown.
func (e *Estimator) RecordEnd(now ident.Instant, h ident.Host, failed bool, running, waiting int, route string, serviceTime time.Duration) {
	s := e.observationOf(h)
	s.inFlight = max(s.inFlight-1, 0)
	s.othersUsage, s.reportedAt = max(float64(running+waiting-s.inFlight), 0), now
	if failed {
		s.failureRate += smoothing * (1 - s.failureRate)
		return
	}
	s.failureRate -= smoothing * s.failureRate
	if serviceTime > 0 {
		s.slowness += smoothing * (serviceTime.Seconds()/e.updateRouteMean(route, serviceTime) - s.slowness)
	}
}

// updateRouteMean adds one service time to the mean of a route and returns the new
// mean in seconds.
func (e *Estimator) updateRouteMean(route string, serviceTime time.Duration) float64 {
	m, ok := e.routeMeans[route]
	if !ok {
		m = serviceTime.Seconds()
	}
	m += routeSmoothing * (serviceTime.Seconds() - m)
	e.routeMeans[route] = m
	return m
}
