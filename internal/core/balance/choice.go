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

// bestOf returns the best option at some distances. At each distance it compares only a few
// options, drawn by their room, since daemons with like pictures would otherwise all choose
// the same server ("How Useful Is Old Information?", Mitzenmacher 2000). Ties are broken at
// random.
func (e *Estimator) bestOf(now ident.Instant, rng Random, d Demand, options []Option, distances ...Distance) choice {
	mean := e.meanOthers(now, options, distances)
	best, ties := choice{index: -1, cost: math.Inf(1)}, 0
	for _, distance := range distances {
		for _, c := range e.draw(now, rng, d, options, distance, mean) {
			switch {
			case c.cost < best.cost:
				best, ties = c, 1
			case c.cost == best.cost:
				ties++
				if rng.IntN(ties) == 0 {
					best = c
				}
			}
		}
	}
	return best
}

// unknownWeight is the weight of an idle server in the mean of reports. It lets the mean of
// a pool that nobody reports on any more fall, so that the pool is tried again.
const unknownWeight = 0.25

// meanOthers returns the mean use of the options at some distances by other daemons, weighted
// by the freshness of the reports.
func (e *Estimator) meanOthers(now ident.Instant, options []Option, distances []Distance) float64 {
	sum, weights := 0.0, unknownWeight
	for i := range options {
		if !slices.Contains(distances, options[i].Distance) {
			continue
		}
		s := e.observationOf(options[i].Host)
		fresh := decay(now.Sub(s.reportedAt), e.costs.ReportHalfLife)
		sum += fresh * s.othersUsage / e.capacity(&options[i], s)
		weights += fresh
	}
	return sum / weights
}

// minCompared is the number of options that a choice compares at least.
const minCompared = 2

// minDrawWeight is the least weight of an option, relative to its capacity: a full server may
// have room by now.
const minDrawWeight = 0.05

// drawn is an option in a weighted draw without replacement.
type drawn struct {
	choice
	key float64
}

// draw returns a few options at a distance, drawn by their room. The fewer daemons choose, the
// more options it returns: the picture of a single one is exact.
func (e *Estimator) draw(now ident.Instant, rng Random, d Demand, options []Option, distance Distance, mean float64) []choice {
	var all []drawn
	for i := range options {
		o := &options[i]
		if o.Distance != distance {
			continue
		}
		v := e.viewOf(now, o, mean, &d)
		weight := e.capacity(o, e.observationOf(o.Host)) * max(1-v.use, minDrawWeight) / v.slowness
		if v.blocked {
			weight = 0
		}
		all = append(all, drawn{choice{i, o, v, e.cost(o, v)}, drawKey(rng, weight)})
	}
	compared := max(minCompared, (len(all)+d.Choosers-1)/max(d.Choosers, 1))
	if compared < len(all) {
		slices.SortFunc(all, func(a, b drawn) int {
			switch {
			case a.key > b.key:
				return -1
			case a.key < b.key:
				return 1
			}
			return 0
		})
		all = all[:compared]
	}
	out := make([]choice, len(all))
	for i := range all {
		out[i] = all[i].choice
	}
	return out
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
