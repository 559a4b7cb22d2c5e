// Package balance chooses a backend server for a pooled service: the servers of
// the caller's region first, by the better of two random choices ("The Power of
// Two Choices in Randomized Load Balancing", Mitzenmacher 2001). A server that
// fails is left out for a growing time and returns by a single trial. The
// package is pure: instants and the random source are passed in.
package balance

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Candidate is one backend server of a pool, named by its daemon.
type Candidate struct {
	Member ident.Member
	Region ident.Region
	Slots  uint32
}

// Config sets the times of ejection.
type Config struct {
	EjectAfter    int           // failures in a row
	FirstEjection time.Duration // first ejection; doubles with each failed trial
	MaxEjection   time.Duration
}

// DefaultConfig returns the policy of a daemon.
func DefaultConfig() Config {
	return Config{EjectAfter: 3, FirstEjection: time.Second, MaxEjection: 30 * time.Second}
}

// Random is the source of random choices.
type Random interface {
	IntN(n int) int
}

// load is what this daemon observed of one server.
type load struct {
	inFlight      uint32
	failures      int // in a row
	ejectedUntil  ident.Instant
	trialInFlight bool // a trial after an ejection is on its way
}

// Chooser holds the observed load of the servers. It is not safe for concurrent
// use.
type Chooser struct {
	cfg   Config
	loads map[ident.Member]*load
}

// NewChooser returns a chooser that has observed nothing.
func NewChooser(cfg Config) *Chooser {
	return &Chooser{cfg: cfg, loads: map[ident.Member]*load{}}
}

func (c *Chooser) loadOf(m ident.Member) *load {
	l, ok := c.loads[m]
	if !ok {
		l = &load{}
		c.loads[m] = l
	}
	return l
}

// Order returns the candidates in order of preference: the choice among the
// region's servers first, then the region's others by load, then other regions'.
// Ejected servers come last.
func (c *Chooser) Order(now ident.Instant, rng Random, region ident.Region, cs []Candidate) []Candidate {
	out := slices.Clone(cs)
	slices.SortStableFunc(out, func(a, b Candidate) int { return c.compare(now, region, a, b) })
	n := 0
	for n < len(out) && out[n].Region == region && c.usable(now, out[n].Member) {
		n++
	}
	if n > 1 {
		c.promote(out, rng, n)
	}
	return out
}

// compare orders by availability, region, then relative load.
func (c *Chooser) compare(now ident.Instant, region ident.Region, a, b Candidate) int {
	if d := penalty(!c.usable(now, a.Member)) - penalty(!c.usable(now, b.Member)); d != 0 {
		return d
	}
	if d := penalty(a.Region != region) - penalty(b.Region != region); d != 0 {
		return d
	}
	return c.compareLoad(a, b)
}

// compareLoad compares requests in flight for each slot.
func (c *Chooser) compareLoad(a, b Candidate) int {
	la := uint64(c.loadOf(a.Member).inFlight) * uint64(max(b.Slots, 1))
	lb := uint64(c.loadOf(b.Member).inFlight) * uint64(max(a.Slots, 1))
	switch {
	case la < lb:
		return -1
	case la > lb:
		return 1
	default:
		return 0
	}
}

// promote moves the better of two random candidates among the first n to the
// front.
func (c *Chooser) promote(out []Candidate, rng Random, n int) {
	i := rng.IntN(n)
	j := rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if c.compareLoad(out[j], out[i]) < 0 {
		i = j
	}
	chosen := out[i]
	copy(out[1:i+1], out[:i])
	out[0] = chosen
}

func penalty(last bool) int {
	if last {
		return 1
	}
	return 0
}

// usable reports whether a server may be chosen; the first choice after an
// ejection is a trial.
func (c *Chooser) usable(now ident.Instant, m ident.Member) bool {
	l := c.loadOf(m)
	if l.failures < c.cfg.EjectAfter {
		return true
	}
	return !now.Before(l.ejectedUntil) && !l.trialInFlight
}

// RecordSent notes that a request was sent to a server.
func (c *Chooser) RecordSent(m ident.Member) {
	l := c.loadOf(m)
	l.inFlight++
	if l.failures >= c.cfg.EjectAfter {
		l.trialInFlight = true
	}
}

// RecordEnd notes the end of a request; failed says that the server or its daemon
// could not be reached or did not answer.
func (c *Chooser) RecordEnd(now ident.Instant, m ident.Member, failed bool) {
	l := c.loadOf(m)
	if l.inFlight > 0 {
		l.inFlight--
	}
	l.trialInFlight = false
	if !failed {
		l.failures = 0
		return
	}
	l.failures++
	if over := l.failures - c.cfg.EjectAfter; over >= 0 {
		l.ejectedUntil = now.Add(c.ejectionTime(over))
	}
}

func (c *Chooser) ejectionTime(over int) time.Duration {
	d := c.cfg.FirstEjection
	for range over {
		d = min(2*d, c.cfg.MaxEjection)
	}
	return d
}

// Retain drops what was observed of servers that are not kept.
func (c *Chooser) Retain(keep func(ident.Member) bool) {
	for m := range c.loads {
		if !keep(m) {
			delete(c.loads, m)
		}
	}
}
