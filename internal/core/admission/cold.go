package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Cold servers: a server that has just started, or whose caches were emptied, tolerates few
// requests per second and may crash above. While it is cold, Core starts requests at that
// rate; after that the rate doubles in steps, because the callers and the other daemons that
// waited would otherwise all send at once. All requests to a server pass through the daemon
// beside it, so that the bound covers all daemons together without a word between them.

// ColdBound is what a service tolerates while one of its servers is cold.
type ColdBound struct {
	Rate      float64 // requests started per second; zero means any number
	PerSecond float64 // maximum number of requests in any second, bursts included
}

const (
	coldWindow = 1100 * time.Millisecond // a second, and how much later than another a request may reach the server

	warmStep  = 250 * time.Millisecond // in which the rate stays the same after the cold time
	warmSteps = 4                      // doublings until any number may start

	// maxColdWindow bounds the remembered starts. A bound above it is kept by the rate alone.
	maxColdWindow = 4096
)

// coldStart is the state of a server that is or was cold.
type coldStart struct {
	bound  ColdBound
	until  ident.Instant   // the server is cold until then; zero if it never was
	maybe  ident.Instant   // the server may be cold until then, without having said so
	recent []ident.Instant // the last starts, as many as may happen within coldWindow; a ring
	next   int             // index in recent of the earliest start
}

// set changes the bound and the end of the cold time. The starts that are remembered stay.
func (s *coldStart) set(b ColdBound, until ident.Instant) {
	n := max(int(b.PerSecond), 1)
	if b.Rate == 0 || n > maxColdWindow {
		n = 0
	}
	if n != len(s.recent) {
		ordered := append(s.recent[s.next:len(s.recent):len(s.recent)], s.recent[:s.next]...)
		s.recent, s.next = make([]ident.Instant, n), 0
		kept := min(n, len(ordered))
		copy(s.recent[n-kept:], ordered[len(ordered)-kept:])
	}
	s.bound, s.until = b, until
}

// rate returns the number of requests that may start per second; zero means any number.
func (s *coldStart) rate(now ident.Instant) float64 {
	if s.bound.Rate == 0 || s.until == 0 {
		return 0
	}
	if now < s.until {
		return s.bound.Rate
	}
	step := now.Sub(s.until)/warmStep + 1
	if step > warmSteps {
		return 0
	}
	return s.bound.Rate * float64(int(1)<<step)
}

// warmIn returns the time until any number of requests may start.
func (s *coldStart) warmIn(now ident.Instant) time.Duration {
	return max(s.until.Add(warmSteps*warmStep).Sub(now), 0)
}

// freeIn returns the time until a request may start without exceeding the bound of any second.
func (s *coldStart) freeIn(now ident.Instant) time.Duration {
	if len(s.recent) == 0 || now >= max(s.until, s.maybe) || s.recent[s.next] == 0 {
		return 0
	}
	return max(s.recent[s.next].Add(coldWindow).Sub(now), 0)
}

// record remembers a start.
func (s *coldStart) record(now ident.Instant) {
	if len(s.recent) > 0 {
		s.recent[s.next] = now
		s.next = (s.next + 1) % len(s.recent)
	}
}

// SuspectCold states that the server may be cold until an instant, although it has not said so.
// Until then the bound of every second holds, but not the rate: most such servers are warm.
func (c *Core) SuspectCold(until, now ident.Instant) {
	c.limit.refill(now)
	c.limit.cold.maybe = until
}

// SetCold states that the server is cold until an instant, zero if it is not, and the bound of
// its service. The requests of the second before count.
func (c *Core) SetCold(b ColdBound, until, now ident.Instant) []Command {
	c.limit.setCold(b, until, now)
	return c.dispatch(now, nil)
}
