package balance

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Distance says how far a backend server is from the caller.
type Distance uint8

// The distances, nearest first.
const (
	SameDomain Distance = iota // the failure domain of the caller
	SameRegion
	OtherRegion
)

// Costs sets what an estimate adds up.
type Costs struct {
	CrossDomain        time.Duration // round trip to another failure domain
	CrossRegion        time.Duration // round trip to another region, and the price of its bytes
	DefaultServiceTime time.Duration // service time taken for a server that has answered nothing
	Failure            time.Duration // what a failed request costs its caller
	ReportHalfLife     time.Duration // age at which a report of load counts half
	RetryInterval      time.Duration // time until a server that could not be reached is tried again
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
	Cold        bool // started lately and still slow
	Unreachable bool // could not be reached and was not heard of since
}

// observation is what was observed of one server.
type observation struct {
	inFlight    int     // requests of this daemon
	othersUsage float64 // slots in use and waiting requests of others, as reported
	reportedAt  ident.Instant
	slowness    float64 // mean of its service times, each in terms of all servers' mean for the route
	failureRate float64 // part of the last requests that failed
	lastSent    ident.Instant
}

// Estimator chooses the server that is expected to answer first, from what
// answers tell of load, service time and failures. It is not safe for concurrent
// use.
type Estimator struct {
	costs        Costs
	observations map[ident.Host]*observation
	routeMeans   map[string]float64 // mean service time of a route over all servers, seconds
}

// NewEstimator returns an estimator that has observed nothing.
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

// Best returns the index of the option that is expected to answer first, -1
// without options. Ties are broken by the random source.
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

// cost is the expected time until the answer, in seconds.
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
	age := now.Sub(s.reportedAt).Seconds()
	others := s.othersUsage * math.Exp2(-age/e.costs.ReportHalfLife.Seconds())
	// A server slows down as its slots fill; beyond them, requests wait.
	use := (float64(s.inFlight) + others) / slots
	return cost + service*(1+use*use) + service*max(0, use-1)
}

// RecordSent notes that a request was sent to a server.
func (e *Estimator) RecordSent(now ident.Instant, h ident.Host) {
	s := e.observationOf(h)
	s.inFlight++
	s.lastSent = now
}

// smoothing is the weight of one observation in the means.
const smoothing = 0.1

// slownessThreshold is the slowness from which a server counts as slow. Below it, what is
// seen is mostly the scatter of service times, which would send requests to other
// failure domains for nothing.
const slownessThreshold = 1.5

// routeSmoothing is slower than smoothing, so that one slow server does not pass
// for a slow route.
const routeSmoothing = 0.02

// RecordEnd notes the end of a request. Running and waiting are what the server's
// daemon told of its load; took is the service time of the route's request, zero if
// none is known.
func (e *Estimator) RecordEnd(now ident.Instant, h ident.Host, failed bool, running, waiting int, route string, took time.Duration) {
	s := e.observationOf(h)
	s.inFlight = max(s.inFlight-1, 0)
	s.othersUsage, s.reportedAt = max(float64(running+waiting-s.inFlight), 0), now
	if failed {
		s.failureRate += smoothing * (1 - s.failureRate)
		return
	}
	s.failureRate -= smoothing * s.failureRate
	if took > 0 {
		s.slowness += smoothing * (took.Seconds()/e.updateRouteMean(route, took) - s.slowness)
	}
}

// updateRouteMean returns the updateRouteMean service time of a route in seconds, with one more
// observation taken in.
func (e *Estimator) updateRouteMean(route string, took time.Duration) float64 {
	m, ok := e.routeMeans[route]
	if !ok {
		m = took.Seconds()
	}
	m += routeSmoothing * (took.Seconds() - m)
	e.routeMeans[route] = m
	return m
}
