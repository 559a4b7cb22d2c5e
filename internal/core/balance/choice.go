package balance

import (
	"math"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Demand is the request that a server is chosen for.
type Demand struct {
	Route    string
	Bytes    int           // length of its body
	Target   time.Duration // time left to answer within the target latency, negative if it has passed; zero without a target
	Deadline time.Duration // time left until the caller gives up
	Choosers int           // daemons that choose among the servers
	LongBody bool          // the body waits for the link of a host that has a slow one
}

// Best returns the index of the option that is expected to serve a request best, or -1 if
// there are no options. A server of another region is chosen only for what the caller's region
// cannot do, see crosses.
func (e *Estimator) Best(now ident.Instant, rng Random, d Demand, options []Option) int {
	home := e.bestOf(now, rng, d, options, SameDomain, SameRegion)
	if home.index >= 0 && d.Target > 0 && e.meetsTarget(d, home) {
		return home.index
	}
	away := e.bestOf(now, rng, d, options, OtherRegion)
	switch {
	case away.index < 0:
		return home.index
	case home.index < 0, e.crosses(d, home, away):
		return away.index
	}
	return home.index
}

// choice is the best of some options.
type choice struct {
	index  int     // -1 if there is none
	option *Option // nil if there is none
	view   view
	cost   float64
}

// targetShare is the share of the time until the target within which an answer of the caller's
// region must be expected. An expected time is a mean, that half of the requests exceed.
const targetShare = 0.6

// meetsTarget reports whether a choice in the caller's region is expected to answer in time.
func (e *Estimator) meetsTarget(d Demand, home choice) bool {
	return e.answerTime(d.Route, home.option, home.view) <= targetShare*d.Target.Seconds()
}

// crosses reports whether a request goes to another region. With a target latency, it does if
// only the other region is expected to keep it and the gain is worth the traffic, or if only
// the other region is expected to answer before the deadline.
func (e *Estimator) crosses(d Demand, home, away choice) bool {
	if away.view.blocked || home.view.blocked {
		return !away.view.blocked
	}
	if d.Target == 0 {
		return away.cost+e.costs.CrossRegion.Seconds() < home.cost
	}
	atHome, elsewhere := e.answerTime(d.Route, home.option, home.view), e.answerTime(d.Route, away.option, away.view)
	if deadline := d.Deadline.Seconds(); atHome > deadline {
		return elsewhere <= deadline
	}
	if e.meetsTarget(d, home) || elsewhere > d.Target.Seconds() {
		return false
	}
	bytes := float64(d.Bytes)
	if r := e.routes[d.Route]; r != nil {
		bytes += r.answerBytes
	}
	return atHome-elsewhere >= bytes/1000*e.costs.CrossRegionPerKB.Seconds()
}

// candidate is an option of a choice, and what is observed of its server.
type candidate struct {
	choice
	seen     *observation
	capacity float64
	fresh    float64 // weight of its report by age
	key      float64 // the greatest keys are drawn
}

// bestOf returns the best option at some distances. At each distance it compares only a few
// options, drawn by their room, since daemons with like pictures would otherwise all choose
// the same server ("How Useful Is Old Information?", Mitzenmacher 2000). Ties are broken at
// random.
func (e *Estimator) bestOf(now ident.Instant, rng Random, d Demand, options []Option, distances ...Distance) choice {
	e.collect(now, options, distances)
	mean := meanOthers(e.candidates)
	best, ties := choice{index: -1, cost: math.Inf(1)}, 0
	for _, distance := range distances {
		for _, c := range e.draw(now, rng, d, distance, mean) {
			switch {
			case c.cost < best.cost:
				best, ties = c.choice, 1
			case c.cost == best.cost:
				ties++
				if rng.IntN(ties) == 0 {
					best = c.choice
				}
			}
		}
	}
	return best
}

// collect makes the options at some distances the candidates.
func (e *Estimator) collect(now ident.Instant, options []Option, distances []Distance) {
	e.candidates = e.candidates[:0]
	for i := range options {
		o := &options[i]
		if !slices.Contains(distances, o.Distance) {
			continue
		}
		s := e.observationOf(o.Host)
		s.setInstance(o.Instance)
		e.candidates = append(e.candidates, candidate{
			choice: choice{index: i, option: o}, seen: s, capacity: e.capacity(o, s),
			fresh: decay(now.Sub(s.reportedAt), e.costs.ReportHalfLife),
		})
	}
}

// unknownWeight is the weight of an idle server in the mean of reports. It lets the mean of
// a pool that nobody reports on any more fall, so that the pool is tried again.
const unknownWeight = 0.25

// meanOthers returns the mean use of the candidates by other daemons, weighted by the freshness
// of the reports.
func meanOthers(candidates []candidate) float64 {
	sum, weights := 0.0, unknownWeight
	for i := range candidates {
		c := &candidates[i]
		sum += c.fresh * c.seen.othersUsage / c.capacity
		weights += c.fresh
	}
	return sum / weights
}

// minCompared is the number of options that a choice compares at least.
const minCompared = 2

// minDrawWeight is the least weight of an option, relative to its capacity: a full server may
// have room by now.
const minDrawWeight = 0.05

// draw returns a few candidates at a distance, drawn by their room. The fewer daemons choose,
// the more it returns: the picture of a single one is exact.
func (e *Estimator) draw(now ident.Instant, rng Random, d Demand, distance Distance, mean float64) []*candidate {
	count := 0
	for i := range e.candidates {
		if e.candidates[i].option.Distance == distance {
			count++
		}
	}
	compared := max(minCompared, (count+d.Choosers-1)/max(d.Choosers, 1))
	e.drawn = e.drawn[:0]
	for i := range e.candidates {
		c := &e.candidates[i]
		if c.option.Distance != distance {
			continue
		}
		c.view = e.viewOf(now, c, mean, &d)
		c.cost = e.cost(c.option, c.view)
		// No server is drawn more for being fast: it may answer with errors.
		weight := c.capacity * max(1-c.view.use, minDrawWeight) / max(c.view.expected, 1)
		if c.view.blocked {
			weight = 0
		}
		c.key = drawKey(rng, weight)
		e.keepGreatest(c, compared)
	}
	return e.drawn
}

// keepGreatest adds a candidate to the drawn ones, greatest key first, and keeps limit of them.
func (e *Estimator) keepGreatest(c *candidate, limit int) {
	if len(e.drawn) < limit {
		e.drawn = append(e.drawn, c)
	} else if last := e.drawn[limit-1]; c.key <= last.key {
		return
	}
	i := len(e.drawn) - 1
	for ; i > 0 && e.drawn[i-1].key < c.key; i-- {
		e.drawn[i] = e.drawn[i-1]
	}
	e.drawn[i] = c
}

// drawKey returns the key of an item in a draw: the items with the greatest keys are drawn with
// probabilities by weight ("Weighted random sampling with a reservoir", Efraimidis and
// Spirakis 2006).
func drawKey(rng Random, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	const steps = 1 << 30
	return math.Log((float64(rng.IntN(steps))+0.5)/steps) / weight
}
