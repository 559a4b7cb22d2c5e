// Package balance chooses backend servers. Chooser orders the servers of a pooled
// service by region and load, and puts the better of two random choices first
// ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher 2001). It
// ejects a server that fails several times in a row; the ejection ends with a
// single trial request and doubles if the trial fails. Estimator chooses the
// server that is expected to answer first. The package performs no I/O: callers
// pass in instants and the random source.
package balance

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Candidate is one backend server of a pool, identified by its daemon.
type Candidate struct {
	Member ident.Member
	Region ident.Region
	Slots  uint32
}

// Config sets the limits of ejection.
type Config struct {
	EjectAfter    int           // consecutive failures before an ejection
	FirstEjection time.Duration // duration of the first ejection; doubles with each failed trial
	MaxEjection   time.Duration
}

// DefaultConfig returns the ejection policy of a daemon.
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
	failures      int // consecutive failures
	ejectedUntil  ident.Instant
	trialInFlight bool // the trial request after an ejection is in flight
}

// Chooser records the load and the failures of servers. It is not safe for
// concurrent use.
type Chooser struct {
	cfg   Config
	loads map[ident.Member]*load
}

// NewChooser returns a chooser without observations.
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

// Order returns the candidates in order of preference: first the better of two
// random usable servers of the region, then the region's other servers by load,
// then those of other regions by load. Ejected servers come last.
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

// compare orders candidates by availability, then region, then relative load.
func (c *Chooser) compare(now ident.Instant, region ident.Region, a, b Candidate) int {
	if d := penalty(!c.usable(now, a.Member)) - penalty(!c.usable(now, b.Member)); d != 0 {
		return d
	}
	if d := penalty(a.Region != region) - penalty(b.Region != region); d != 0 {
		return d
	}
	return c.compareLoad(a, b)
}

// compareLoad compares the requests in flight per slot.
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

func penalty(applies bool) int {
	if applies {
		return 1
	}
	return 0
}

// usable reports whether a server may be chosen. An ejected server becomes usable
// again when its ejection ends, for one trial request at a time.
func (c *Chooser) usable(now ident.Instant, m ident.Member) bool {
	l := c.loadOf(m)
	if l.failures < c.cfg.EjectAfter {
		return true
	}
	return !now.Before(l.ejectedUntil) && !l.trialInFlight
}

// RecordSent records that a request was sent to a server.
func (c *Chooser) RecordSent(m ident.Member) {
	l := c.loadOf(m)
	l.inFlight++
	if l.failures >= c.cfg.EjectAfter {
		l.trialInFlight = true
	}
}

// RecordEnd records the end of a request. The request counts as failed if the
// server or its daemon was unreachable or did not answer.
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

// Retain removes the observations of all servers for which keep returns false.
func (c *Chooser) Retain(keep func(ident.Member) bool) {
	for m := range c.loads {
		if !keep(m) {
			delete(c.loads, m)
		}
	}
}
