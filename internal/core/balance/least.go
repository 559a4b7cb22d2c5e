package balance

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Limits of what counts as a least time.
const (
	// leastSamples is how many observations a least time needs.
	leastSamples = 20
	// serviceValidity is how long a least service time counts after its last observation. A
	// route that is refused because of it has no further observations, so that it must end by
	// itself.
	serviceValidity = 2 * time.Second
	// wayValidity is the same of a way, which changes little.
	wayValidity = time.Minute
	// leastDrift is the weight of a greater observation. It makes a least time about that of
	// the last hundred observations.
	leastDrift = 0.01
)

// least tracks the least of recent durations.
type least struct {
	validity time.Duration // how long it counts after the last observation
	value    time.Duration
	samples  int
	at       ident.Instant // of the last one
}

func (l *least) record(now ident.Instant, d time.Duration) {
	if l.samples == 0 || d < l.value || now.Sub(l.at) > l.validity {
		l.value = d
	}
	if now.Sub(l.at) > l.validity {
		l.samples = 0
	}
	l.value += time.Duration(leastDrift * float64(d-l.value))
	l.samples++
	l.at = now
}

// get returns the least time, zero if it is not known.
func (l *least) get(now ident.Instant) time.Duration {
	if l == nil || l.samples < leastSamples || now.Sub(l.at) > l.validity {
		return 0
	}
	return l.value
}

// Times tracks the least times that answers need: the way to a location and back, and the
// service time of a route. It is not safe for concurrent use.
type Times struct {
	ways   map[ident.Location]*least
	routes map[string]*least
}

// NewTimes returns times without observations.
func NewTimes() *Times {
	return &Times{ways: make(map[ident.Location]*least), routes: make(map[string]*least)}
}

// RecordService records an answer to a request of a route.
func (t *Times) RecordService(now ident.Instant, route string, serviceTime time.Duration) {
	if t.routes[route] == nil {
		t.routes[route] = &least{validity: serviceValidity}
	}
	t.routes[route].record(now, serviceTime)
}

// RecordWay records how long a request and its answer were on the way between this daemon and
// a location. It must not include a wait for a slot.
func (t *Times) RecordWay(now ident.Instant, location ident.Location, way time.Duration) {
	if t.ways[location] == nil {
		t.ways[location] = &least{validity: wayValidity}
	}
	t.ways[location].record(now, max(way, 0))
}

// Least returns the least way to a location and back and the least service time of a route,
// each zero if it is not known.
func (t *Times) Least(now ident.Instant, to ident.Location, route string) (way, service time.Duration) {
	return t.ways[to].get(now), t.routes[route].get(now)
}
