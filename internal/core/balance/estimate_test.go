package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// replay sends requests at a fixed interval to servers with the given service
// times, and returns the number of requests that each host received. The answers
// include the service time if reported is true.
func replay(services []time.Duration, requests int, reported bool) map[ident.Host]int {
	options := make([]Option, len(services))
	for i := range services {
		options[i] = Option{Host: ident.Host(rune('a' + i)), Slots: 4}
	}
	return replayOptions(options, services, requests, reported)
}

// replayOptions is replay with the given options.
func replayOptions(options []Option, services []time.Duration, requests int, reported bool) map[ident.Host]int {
	e, rng := NewEstimator(DefaultCosts()), rand.New(rand.NewPCG(1, 2))
	type runningRequest struct {
		end  ident.Instant
		host int
	}
	var running []runningRequest
	received := make(map[ident.Host]int)
	now := ident.Instant(time.Hour)
	for range requests {
		now = now.Add(20 * time.Millisecond)
		for i := 0; i < len(running); i++ {
			r := running[i]
			if r.end > now {
				continue
			}
			serviceTime := services[r.host]
			if !reported {
				serviceTime = 0
			}
			e.RecordEnd(r.end, options[r.host].Host, Outcome{Route: "r", ServiceTime: serviceTime})
			running = slices.Delete(running, i, i+1)
			i--
		}
		best := e.Best(now, rng, Demand{Choosers: 1}, options)
		e.RecordSent(now, options[best].Host)
		received[options[best].Host]++
		running = append(running, runningRequest{now.Add(services[best]), best})
	}
	return received
}

// Load pattern: one of three servers takes five times as long as the others. The
// baseline without reported service times knows only the number of requests in
// flight at each server.
func TestSlowServerReceivesFewRequests(t *testing.T) {
	services := []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond}
	baseline, count := replay(services, 2000, false)["c"], replay(services, 2000, true)["c"]
	t.Logf("slow server got %d of 2000 requests, before %d", count, baseline)
	assert.Assert(t, count < baseline/2)
	assert.Assert(t, count > 0, "it is tried again")
}

// Load pattern: a server fails some requests, as one does that crashes, and another instance
// takes its place while the others have room for all requests. The new instance got no request
// for as long as they had.
func TestNewInstanceDoesNotAnswerForTheFailuresOfTheFormer(t *testing.T) {
	e, rng := NewEstimator(DefaultCosts()), rand.New(rand.NewPCG(1, 2))
	options := []Option{{Host: "a", Slots: 18}, {Host: "b", Slots: 18}, {Host: "c", Slots: 18}}
	for i := range options {
		options[i].Instance = roster.Instance{ID: "i", StartedMS: 1}
	}
	now := ident.Instant(time.Hour)
	shareOfA := func(failing bool) (n int) {
		for range 300 {
			now = now.Add(20 * time.Millisecond)
			best := e.Best(now, rng, Demand{Choosers: 1}, options)
			e.RecordSent(now, options[best].Host)
			e.RecordEnd(now.Add(10*time.Millisecond), options[best].Host, Outcome{Route: "r", Failed: failing && best == 0, ServiceTime: 10 * time.Millisecond})
			if best == 0 {
				n++
			}
		}
		return n
	}
	assert.Assert(t, shareOfA(false) > 60)
	assert.Assert(t, shareOfA(true) < 10)
	options[0].Instance.StartedMS = 2
	n := shareOfA(false)
	assert.Assert(t, n > 60, "%d of 300 requests reach the new instance", n)
}

// Load pattern: a long route and a short one. A server must not count as slow
// because it received the requests of the long route.
func TestLongRouteDoesNotMakeAServerSlow(t *testing.T) {
	e := NewEstimator(DefaultCosts())
	now := ident.Instant(time.Hour)
	for range 200 {
		e.RecordEnd(now, "a", Outcome{Route: "short", ServiceTime: 10 * time.Millisecond})
		e.RecordEnd(now, "b", Outcome{Route: "long", ServiceTime: 900 * time.Millisecond})
	}
	costOf := func(o Option) float64 {
		e.collect(now, []Option{o}, []Distance{SameDomain})
		return e.cost(&o, e.viewOf(now, &e.candidates[0], 0, &Demand{Choosers: 1}))
	}
	costs := []float64{costOf(Option{Host: "a", Slots: 4}), costOf(Option{Host: "b", Slots: 4})}
	assert.Assert(t, costs[1] < 1.1*costs[0], "%v", costs)
}

// Load pattern: one of three servers of a pooled service accepts 5 requests per second although
// its slots are free, of 50 that arrive. Without the limit it got a third of them, and refused
// most.
func TestLimitedServerReceivesWhatItAccepts(t *testing.T) {
	const limit, requests, interval = 5.0, 1000, 20 * time.Millisecond
	service := 80 * time.Millisecond
	received := replayOptions([]Option{{Host: "a", Slots: 4, Limit: limit}, {Host: "b", Slots: 4}, {Host: "c", Slots: 4}}, []time.Duration{service, service, service}, requests, true)
	accepted := int(limit * (requests * interval).Seconds())
	assert.Assert(t, received["a"] <= 2*accepted, "%v, the limit accepts %d", received, accepted)
	assert.Assert(t, received["b"] > 300 && received["c"] > 300, "%v", received)

	// Three times the load: the limited server has to take its part.
	received = replayOptions([]Option{{Host: "a", Slots: 4, Limit: 20}, {Host: "b", Slots: 4}, {Host: "c", Slots: 4}}, []time.Duration{service, 3 * service, 3 * service}, requests, true)
	assert.Assert(t, received["a"] > requests/10, "%v", received)
}
