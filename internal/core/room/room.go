// Package room estimates how many requests at once a backend server takes well, and how fast
// the machine works at present. The daemon beside the server passes in the start and the end of
// each request and what the server reports of itself; the package does no I/O and reads no
// clock.
//
// The model of a service time is class x level x pace: the usual time of its class, a factor of
// the number of requests that ran beside it, and a factor of the moment. A class's own mean
// keeps a change of the mix from being taken for slowness, the pace one that comes from outside.
// All three are learnt as logarithms, so that a few requests that take a multiple hardly move
// them. The room is the least number of requests at once with which the server gets the most
// done; while little is known of a number, it counts as good as the one below it. What is known
// of a number that has not been seen for a while is forgotten, so that it is tried again.
package room

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	maxLevels    = 64   // numbers of requests at once that are told apart; more slots share levels
	maxClasses   = 256  // classes with a usual time of their own; further ones do not count
	minClass     = 10   // requests of a class before it counts
	classWeight  = 0.01 // least weight of a sample in the usual time of its class
	busyClass    = 0.2  // factor of that weight while more than half of the slots are in use
	levelWeight  = 0.02 // least weight of a sample in the factor of its level
	paceWeight   = 0.03 // weight of a sample in the pace
	paceRevert   = 0.005
	maxResidual  = 2.0              // a sample counts as at most e to this times the expected time
	deviation    = 0.55             // usual standard deviation of a sample's logarithm
	sameDone     = 0.98             // share of the most work done that counts as much
	levelMemory  = 20 * time.Second // after which a number that is not seen counts half
	fullEvidence = 2 / levelWeight
	minEvidence  = 10  // samples of a level that prove that it gets more done than the one below
	doubt        = 1.6 // standard errors that count in favour of more requests at once

	maxPace       = 20.0                   // the pace is between 1/maxPace and maxPace
	reportLasts   = 500 * time.Millisecond // a report changes many times per second
	trustWeight   = 0.01                   // weight of a sample in the errors of the two paces
	trustMargin   = 1.1                    // a report may err by this multiple of the pace learnt here
	minPaceSample = 20                     // requests before a pace is told
)

// level holds what is known of one number of requests at once.
type level struct {
	factor float64 // logarithm of the service time relative to a server with one request
	weight float64 // samples, halved every levelMemory, at most fullEvidence
	seenAt ident.Instant
}

// class holds the usual time of one class.
type class struct {
	logMean float64
	samples float64
}

// run is a request under way.
type run struct {
	class    string
	started  ident.Instant
	occupied float64 // Estimator.occupied at its start
}

// Estimator learns the room of one server. It is not safe for concurrent use.
type Estimator struct {
	slots     int
	levels    [maxLevels + 1]level
	classes   map[string]*class
	runs      map[uint64]run
	occupied  float64       // integral of the requests that run over time, in request-nanoseconds
	changedAt ident.Instant // when that was last brought up to date

	pace     float64 // logarithm, learnt from the samples
	reported float64 // logarithm, as the server states it
	reportAt ident.Instant
	ownErr   float64 // mean square of what the pace learnt here leaves unexplained
	toldErr  float64 // the same of the reported pace
	samples  float64
}

// New returns an estimator that knows nothing yet.
func New() *Estimator {
	return &Estimator{classes: make(map[string]*class), runs: make(map[uint64]run)}
}

// SetSlots sets the number of requests that the server accepts at once. A changed number
// makes levels mean something else.
func (e *Estimator) SetSlots(slots int) {
	if slots != e.slots && max(slots, e.slots) > maxLevels {
		e.levels = [maxLevels + 1]level{}
	}
	e.slots = slots
}

// levelOf returns the level of a mean number of requests at once.
func (e *Estimator) levelOf(running float64) int {
	if e.slots > maxLevels {
		running *= maxLevels / float64(e.slots)
	}
	return min(max(int(math.Round(running)), 1), maxLevels)
}

// advance brings the integral of the requests that run up to date.
func (e *Estimator) advance(now ident.Instant) {
	e.occupied += float64(len(e.runs)) * float64(max(now.Sub(e.changedAt), 0))
	e.changedAt = now
}

// Start records that a request starts.
func (e *Estimator) Start(id uint64, class string, now ident.Instant) {
	e.advance(now)
	e.runs[id] = run{class: class, started: now, occupied: e.occupied}
}

// Drop forgets a request that the server did not serve.
func (e *Estimator) Drop(id uint64, now ident.Instant) {
	e.advance(now)
	delete(e.runs, id)
}

// End records that a request was served.
func (e *Estimator) End(id uint64, now ident.Instant) {
	e.advance(now)
	r, ok := e.runs[id]
	delete(e.runs, id)
	took := float64(now.Sub(r.started))
	if !ok || took <= 0 || e.slots <= 0 {
		return
	}
	c := e.classes[r.class]
	if c == nil {
		if len(e.classes) >= maxClasses {
			return
		}
		c = &class{}
		e.classes[r.class] = c
	}
	e.learn(c, e.levelOf((e.occupied-r.occupied)/took), math.Log(took), now)
}

// learn adds the logarithm of a service time to the three factors.
func (e *Estimator) learn(c *class, at int, logTime float64, now ident.Instant) {
	l := &e.levels[at]
	l.decay(now)
	unexplained := logTime - c.logMean - l.factor
	c.samples++
	if c.samples == 1 {
		c.logMean = logTime - l.factor - e.logPace(now)
		return
	}
	own, told := bound(unexplained-e.pace), bound(unexplained-e.reported)
	residual := own
	if e.trustsReport(now) {
		residual = told
	}
	weight := classWeight
	if 2*at > e.levelOf(float64(e.slots)) { // what a busy server does is first a matter of its level
		weight *= busyClass
	}
	c.logMean += max(1/c.samples, weight) * residual
	if c.samples < minClass {
		return
	}
	e.samples++
	e.pace += paceWeight*own - paceRevert*e.pace
	e.ownErr += trustWeight * (own*own - e.ownErr)
	if now.Sub(e.reportAt) < reportLasts && e.reportAt != 0 {
		e.toldErr += trustWeight * (told*told - e.toldErr)
	}
	l.weight = min(l.weight+1, fullEvidence)
	l.seenAt = now
	if at > 1 { // one request at once is what the others are measured against
		l.factor += max(1/l.weight, levelWeight) * residual
	}
}

func bound(residual float64) float64 { return min(max(residual, -maxResidual), maxResidual) }

// decay reduces the weight of a level that was not seen for a while.
func (l *level) decay(now ident.Instant) {
	if l.weight > 0 {
		l.weight *= math.Exp2(-max(now.Sub(l.seenAt), 0).Seconds() / levelMemory.Seconds())
		l.seenAt = now
	}
}

// Report records the pace that the server states: how long work takes on its machine, 1 as
// usual. Zero or less, or no number, states none.
func (e *Estimator) Report(pace float64, now ident.Instant) {
	if !(pace > 0) || math.IsInf(pace, 0) {
		return
	}
	e.reported, e.reportAt = math.Log(min(max(pace, 1/maxPace), maxPace)), now
}

// trustsReport reports whether the stated pace is recent and has explained the service times
// no worse than the pace learnt here.
func (e *Estimator) trustsReport(now ident.Instant) bool {
	return e.reportAt != 0 && now.Sub(e.reportAt) < reportLasts && e.toldErr <= trustMargin*e.ownErr
}

func (e *Estimator) logPace(now ident.Instant) float64 {
	if e.trustsReport(now) {
		return e.reported
	}
	return e.pace
}

// Pace returns how long work takes at present relative to what is usual, zero if unknown.
func (e *Estimator) Pace(now ident.Instant) float64 {
	if e.samples < minPaceSample && !e.trustsReport(now) {
		return 0
	}
	return min(max(math.Exp(e.logPace(now)), 1/maxPace), maxPace)
}

// Room returns how many requests at once the server takes well, zero without slots.
func (e *Estimator) Room(now ident.Instant) float64 {
	if e.slots <= 0 {
		return 0
	}
	top := e.levelOf(float64(e.slots))
	var done [maxLevels + 1]float64
	best, slowdown := 0.0, 0.0
	for k := 1; k <= top; k++ {
		slowdown = e.slowdownAt(k, slowdown, k > 1 && done[k-1] < best, now)
		done[k] = float64(k) * math.Exp(-slowdown)
		best = max(best, done[k])
	}
	for k := 1; k <= top; k++ {
		if done[k] >= sameDone*best {
			return float64(k) * float64(e.slots) / float64(top)
		}
	}
	return float64(e.slots)
}

// slowdownAt returns the logarithm of the factor of level k, no more than the samples prove,
// given that of the level below. past says that the level below gets less done than one
// before it: then k is taken to get no more done either until samples prove it, so that the
// room grows by one step at a time.
func (e *Estimator) slowdownAt(k int, below float64, past bool, now ident.Instant) float64 {
	l := e.levels[k]
	l.decay(now)
	if k == 1 {
		return 0
	}
	proven := below
	if l.weight >= 1 {
		proven = max(below, l.factor-doubt*deviation/math.Sqrt(l.weight))
	}
	if past && l.weight < minEvidence {
		return max(proven, below+math.Log(float64(k)/float64(k-1)))
	}
	return proven
}
