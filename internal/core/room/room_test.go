package room_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/room"
)

// fleet replays an open-loop load at servers of eight slots with a queue each. A server whose
// running requests exceed its knee works slower by the square of the excess. The first
// 20 s do not count.
type fleet struct {
	perSecond float64
	knee      int                                               // zero: none
	kneeUntil time.Duration                                     // zero: for ever
	noise     float64                                           // a fifth of the requests take this multiple
	work      func(at time.Duration) (class string, ms float64) // of the next request
	pace      []func(at time.Duration) float64                  // of each server
	report    func(server int, at time.Duration, random *rand.Rand) float64
}

// result is what callers get.
type result struct {
	inTime float64 // share of the requests answered within the target of 400 ms
	p99    time.Duration
	room   float64 // mean room of the first server
}

const slots, target, deadline = 8, 400 * time.Millisecond, 2 * time.Second

type request struct {
	id      uint64
	class   string
	arrived time.Duration
	left    float64 // ms of work
}

type server struct {
	learnt         *room.Estimator
	running, queue []*request
}

// replay runs the load with learning, or with a fixed room.
func (f fleet) replay(fixed int, seed uint64) (out result) {
	const warmup, duration = 20 * time.Second, 80 * time.Second
	random := rand.New(rand.NewPCG(seed, 5))
	servers := make([]server, len(f.pace))
	for i := range servers {
		servers[i].learnt = room.New()
		servers[i].learnt.SetSlots(slots)
	}
	var waits []time.Duration
	var arrived, inTime, rooms float64
	var last uint64
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		now := ident.Instant(time.Hour).Add(at)
		capacity := make([]float64, len(servers))
		total := 0.0
		for i := range servers {
			s := &servers[i]
			if f.report != nil {
				s.learnt.Report(f.report(i, at, random), now)
			}
			limit := fixed
			capacity[i] = 1
			if fixed == 0 {
				limit = int(math.Round(s.learnt.Room(now)))
				capacity[i] = s.learnt.Room(now) / max(s.learnt.Pace(now), 0.05)
				if i == 0 && at >= warmup {
					rooms += s.learnt.Room(now) / float64((duration-warmup)/time.Millisecond)
				}
			}
			total += capacity[i]
			slow := f.pace[i](at)
			if f.knee > 0 && len(s.running) > f.knee && (f.kneeUntil == 0 || at < f.kneeUntil) {
				slow *= math.Pow(float64(len(s.running))/float64(f.knee), 2)
			}
			for _, r := range slices.Clone(s.running) {
				if r.left -= 1 / slow; r.left > 0 {
					continue
				}
				s.learnt.End(r.id, now)
				s.running = slices.DeleteFunc(s.running, func(o *request) bool { return o == r })
				if took := at - r.arrived; r.arrived >= warmup {
					waits = append(waits, took)
					if took <= target {
						inTime++
					}
				}
			}
			for len(s.queue) > 0 && len(s.running) < limit {
				r := s.queue[0]
				s.queue = s.queue[1:]
				if at-r.arrived > deadline {
					continue
				}
				s.running = append(s.running, r)
				s.learnt.Start(r.id, r.class, now)
			}
		}
		if random.Float64() >= f.perSecond/1000 {
			continue
		}
		last++
		r := &request{id: last, arrived: at}
		r.class, r.left = f.work(at)
		r.left *= 0.5 + random.Float64()
		if random.Float64() < 0.2 && f.noise > 0 {
			r.left *= f.noise
		}
		if at >= warmup {
			arrived++
		}
		i := 0
		for x := random.Float64() * total; i < len(servers)-1 && x >= capacity[i]; i++ {
			x -= capacity[i]
		}
		servers[i].queue = append(servers[i].queue, r)
	}
	slices.Sort(waits)
	return result{inTime / arrived, waits[len(waits)*99/100], rooms}
}

// best returns what the best fixed room gives, known afterwards.
func (f fleet) best(seed uint64) (b result, fixed int) {
	for n := 1; n <= slots; n++ {
		if r := f.replay(n, seed); r.inTime > b.inTime {
			b, fixed = r, n
		}
	}
	return b, fixed
}

func steady(ms float64) func(time.Duration) (string, float64) {
	return func(time.Duration) (string, float64) { return "a", ms }
}

func usual(time.Duration) float64 { return 1 }

// mix is of short requests until 50 s and of long ones from then on.
func mix(at time.Duration) (string, float64) {
	if at < 50*time.Second == (at/time.Millisecond%4 != 0) {
		return "short", 40
	}
	return "long", 160
}

func lies(_ int, at time.Duration, random *rand.Rand) float64 { return 0.2 + 5*random.Float64() }

var one = []func(time.Duration) float64{usual}

// A server that slows down beyond half of its slots gets no more done with more of them, and
// with a full queue it never comes back. What callers get must be near what the best fixed room
// gives, which nobody knows beforehand.
func TestRoomIsNearTheBestFixedOne(t *testing.T) {
	for _, c := range []struct {
		name string
		f    fleet
	}{
		{"slows down at half of its slots", fleet{perSecond: 28, knee: 4, work: steady(100), pace: one}},
		{"noise of 3x on a fifth", fleet{perSecond: 20, knee: 4, noise: 3, work: steady(100), pace: one}},
		{"change of the mix", fleet{perSecond: 22, knee: 4, work: mix, pace: one}},
		{"a lying health check", fleet{perSecond: 28, knee: 4, work: steady(100), pace: one, report: lies}},
	} {
		for seed := range uint64(2) {
			learnt, without := c.f.replay(0, seed), c.f.replay(slots, seed)
			best, n := c.f.best(seed)
			t.Logf("%s: in time %.3f with a room of %.1f, p99 %.2f of that of the best fixed room %d (%.3f); without learning %.3f, p99 %.2f", c.name,
				learnt.inTime, learnt.room, learnt.p99.Seconds()/best.p99.Seconds(), n, best.inTime, without.inTime, without.p99.Seconds()/best.p99.Seconds())
			assert.Assert(t, learnt.inTime >= 0.6*best.inTime && learnt.inTime >= without.inTime+0.2)
			assert.Assert(t, learnt.p99 <= 5*best.p99 && learnt.p99 < without.p99)
		}
	}
}

// Without a knee, neither noise nor a change of the mix nor a slow spell takes slots away.
func TestNoiseIsNotTakenForSlowness(t *testing.T) {
	for _, f := range []fleet{
		{perSecond: 50, noise: 3, work: steady(100), pace: one},
		{perSecond: 65, work: mix, pace: one},
		{perSecond: 30, work: steady(100), pace: []func(time.Duration) float64{spells}},
	} {
		for seed := range uint64(2) {
			learnt, without := f.replay(0, seed), f.replay(slots, seed)
			t.Logf("in time %.3f with a room of %.1f, with all slots %.3f", learnt.inTime, learnt.room, without.inTime)
			assert.Assert(t, learnt.inTime >= 0.93*without.inTime)
		}
	}
}

// A server that no longer slows down gets all its slots again, though none of the requests
// that it is given could show it.
func TestRoomComesBack(t *testing.T) {
	for seed := range uint64(2) {
		r := fleet{perSecond: 55, knee: 4, kneeUntil: 30 * time.Second, work: steady(100), pace: one}.replay(0, seed)
		t.Logf("in time %.3f with a room of %.1f", r.inTime, r.room)
		assert.Assert(t, r.inTime >= 0.4)
	}
}

// spells makes a server five times slower for 5 s of 20.
func spells(at time.Duration) float64 {
	if at%(20*time.Second) > 15*time.Second {
		return 5
	}
	return 1
}

// Others that choose by room and pace leave a slow server what it can do, and give it its share
// again when it comes back.
func TestPaceSharesTheLoad(t *testing.T) {
	speeds := []func(time.Duration) float64{func(time.Duration) float64 { return 0.7 }, func(time.Duration) float64 { return 1.6 }}
	truth := func(s int, at time.Duration, _ *rand.Rand) float64 { return speeds[s](at) }
	for _, c := range []struct {
		name string
		gain float64
		f    fleet
	}{
		{"two speeds", 0.4, fleet{perSecond: 130, work: steady(100), pace: speeds, report: truth}},
		{"five times slower for a while", 0.05, fleet{perSecond: 75, work: steady(100), pace: []func(time.Duration) float64{usual, spells}}},
	} {
		for seed := range uint64(2) {
			learnt, without := c.f.replay(0, seed), c.f.replay(slots, seed)
			t.Logf("%s: in time %.3f, p99 %v; without %.3f, p99 %v", c.name, learnt.inTime, learnt.p99, without.inTime, without.p99)
			assert.Assert(t, learnt.inTime >= without.inTime+c.gain && learnt.p99 < without.p99)
		}
	}
}
