package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// replay sends requests at a fixed interval to servers with given service times
// and returns how many each got. Answers tell the service time if told.
func replay(services []time.Duration, requests int, told bool) map[ident.Host]int {
	e, rng := NewEstimator(DefaultCosts()), rand.New(rand.NewPCG(1, 2))
	options := make([]Option, len(services))
	for i := range services {
		options[i] = Option{Host: ident.Host(rune('a' + i)), Slots: 4}
	}
	type run struct {
		at   ident.Instant
		host int
	}
	var running []run
	got := make(map[ident.Host]int)
	now := ident.Instant(time.Hour)
	for range requests {
		now = now.Add(20 * time.Millisecond)
		for i := 0; i < len(running); i++ {
			r := running[i]
			if r.at > now {
				continue
			}
			took := services[r.host]
			if !told {
				took = 0
			}
			e.RecordEnd(r.at, options[r.host].Host, false, 0, 0, "r", took)
			running = slices.Delete(running, i, i+1)
			i--
		}
		best := e.Best(now, rng, options)
		e.RecordSent(now, options[best].Host)
		got[options[best].Host]++
		running = append(running, run{now.Add(services[best]), best})
	}
	return got
}

// Load pattern: one of three servers takes five times as long as the others. The
// version before learned no service times and knew only how many requests each had.
func TestSlowServerGetsLittle(t *testing.T) {
	services := []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond}
	before, now := replay(services, 2000, false)["c"], replay(services, 2000, true)["c"]
	t.Logf("slow server got %d of 2000 requests, before %d", now, before)
	assert.Assert(t, now < before/2)
	assert.Assert(t, now > 0, "it is tried again")
}

// Load pattern: requests of a long route beside those of a short one. A server that
// happened to get the long ones is not slower for it.
func TestLongRouteIsNoSlowServer(t *testing.T) {
	e := NewEstimator(DefaultCosts())
	now := ident.Instant(time.Hour)
	for range 200 {
		e.RecordEnd(now, "a", false, 0, 0, "short", 10*time.Millisecond)
		e.RecordEnd(now, "b", false, 0, 0, "long", 900*time.Millisecond)
	}
	costs := []float64{e.cost(now, Option{Host: "a", Slots: 4}), e.cost(now, Option{Host: "b", Slots: 4})}
	assert.Assert(t, costs[1] < 1.1*costs[0], "%v", costs)
}
