package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// delayedReplay sends a request each 10 ms to six servers of one region with the same load.
// From 2 s to 7 s the daemon beside the first one has little processor time: 400 ms pass on
// the way, which no report shows. It returns how many of the requests went there before,
// during and after that.
func delayedReplay(knowsWay bool) (before, during, after int) {
	const interval, slowWay = 10 * time.Millisecond, 400 * time.Millisecond
	e, rng := NewEstimator(DefaultCosts()), rand.New(rand.NewPCG(1, 1))
	var options []Option
	for _, h := range []ident.Host{"a", "b", "c", "d", "e", "f"} {
		options = append(options, Option{Host: h, Distance: SameRegion, Slots: 6})
	}
	type end struct {
		at   ident.Instant
		host ident.Host
		way  time.Duration
	}
	var ends []end
	start := ident.Instant(time.Hour)
	for n := range 1200 {
		now := start.Add(time.Duration(n) * interval)
		for len(ends) > 0 && ends[0].at <= now {
			o := Outcome{Route: "r", ServiceTime: 50 * time.Millisecond, Distance: SameRegion, Report: Report{Running: 2, Slots: 6}}
			if knowsWay {
				o.Way = ends[0].way
			}
			e.RecordEnd(now, ends[0].host, o)
			ends = ends[1:]
		}
		i := e.Best(now, rng, Demand{Route: "r", Target: 200 * time.Millisecond, Deadline: time.Second, Choosers: 60}, options)
		e.RecordSent(now, options[i].Host)
		at, way := now.Sub(start), 5*time.Millisecond
		slow := at >= 2*time.Second && at < 7*time.Second
		if slow && i == 0 {
			way = slowWay
		}
		ends = append(ends, end{now.Add(50*time.Millisecond + way), options[i].Host, way})
		switch {
		case i != 0:
		case slow:
			during++
		case at < 2*time.Second:
			before++
		default:
			after++
		}
	}
	return before, during, after
}

// Load pattern: a host short of processor time. Its server answers as fast as the others once
// a request has arrived. A sixth of the requests is its part; it gets a few to see whether the
// delay has ended, and its part again afterwards.
func TestDelayedDaemonReceivesFewRequests(t *testing.T) {
	_, blind, _ := delayedReplay(false)
	before, during, after := delayedReplay(true)
	t.Logf("of 200, 500 and 500 requests: %d, %d, %d; without the way %d while delayed", before, during, after, blind)
	assert.Assert(t, during < blind/2 && during > 0)
	assert.Assert(t, before > 15 && after > 45, "its part is 33 and 83")
}

// Load pattern: uploads to servers behind slow links, of which one has half a second of bodies
// ahead. A body goes elsewhere; a short request does not mind.
func TestLongBodyAvoidsFullLink(t *testing.T) {
	e, rng := NewEstimator(DefaultCosts()), rand.New(rand.NewPCG(1, 1))
	now := ident.Instant(time.Hour)
	options := []Option{{Host: "a", Slots: 6}, {Host: "b", Slots: 6}}
	full := map[bool]int{}
	for range 200 {
		for _, o := range options {
			report := Report{Slots: 6}
			if o.Host == "a" {
				report.LinkWait = 500 * time.Millisecond
			}
			e.RecordEnd(now, o.Host, Outcome{Failed: true, NoVerdict: true, Report: report})
		}
		for _, long := range []bool{false, true} {
			d := Demand{Route: "r", Target: time.Second, Deadline: 5 * time.Second, Choosers: 60, LongBody: long}
			if e.Best(now, rng, d, options) == 0 {
				full[long]++
			}
		}
	}
	assert.Equal(t, full[true], 0)
	assert.Assert(t, full[false] > 50, "%v", full)
}
