package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// classLoad is one class of an open-loop load at a server.
type classLoad struct {
	name      admission.Class
	perSecond float64
	work      time.Duration // mean; a fifth of the requests take three times as long
	target    time.Duration
	deadline  time.Duration
	priority  int
	callers   []string
}

// classResult is what callers of one class get.
type classResult struct {
	arrived, inTime, refused float64
	refusedWait              time.Duration // mean time from the arrival to the refusal
}

func (r classResult) ratio() float64 { return r.inTime / max(r.arrived, 1) }

// replayClasses replays loads at a server of six slots. speed is how much longer its work takes
// at a time since the start. The first 10 s, in which the classes are learnt, do not count.
func replayClasses(callsFirst bool, seed uint64, speed func(time.Duration) float64, loads ...classLoad) []classResult {
	const slots, warmup, duration = 6, 10 * time.Second, 40 * time.Second
	cfg := admission.DefaultConfig(slots)
	cfg.ReservedSlots, cfg.CallsFirst = 0, callsFirst
	core := admission.New(cfg)
	random := rand.New(rand.NewPCG(seed, 7))
	origin := ident.Instant(time.Hour)
	type request struct {
		load          int
		at, end, late time.Duration
	}
	requests := map[admission.ID]*request{}
	out := make([]classResult, len(loads))
	var running []admission.ID
	var last admission.ID
	apply := func(at time.Duration, cmds []admission.Command) {
		for _, c := range cmds {
			switch c := c.(type) {
			case admission.Start:
				r := requests[c.ID]
				took := float64(loads[r.load].work) * (0.5 + random.Float64()) / 1.4 * speed(at)
				if random.Float64() < 0.2 {
					took *= 3
				}
				r.end = at + time.Duration(took)
				running = append(running, c.ID)
			case admission.Refuse:
				r := requests[c.ID]
				if delete(requests, c.ID); r.at >= warmup {
					out[r.load].refused++
					out[r.load].refusedWait += at - r.at
				}
			}
		}
	}
	for at := time.Duration(0); at < duration; at += time.Millisecond {
		now := origin.Add(at)
		for _, id := range slices.Clone(running) {
			r := requests[id]
			if r.end > at && r.late > at {
				continue
			}
			running = slices.DeleteFunc(running, func(o admission.ID) bool { return o == id })
			delete(requests, id)
			if r.end <= r.late {
				if r.at >= warmup {
					out[r.load].inTime++
				}
				apply(at, core.Finish(id, now))
			} else { // the server stops work at the deadline
				apply(at, core.Cancel(id, now))
			}
		}
		for i, l := range loads {
			for range poisson(random, l.perSecond/1000) {
				last++
				requests[last] = &request{load: i, at: at, late: at + l.deadline}
				if at >= warmup {
					out[i].arrived++
				}
				apply(at, core.Arrive(admission.Arrival{ID: last, Class: l.name, Deadline: now.Add(l.deadline), Target: now.Add(l.target),
					Priority: l.priority, Caller: l.callers[random.IntN(len(l.callers))]}, now))
			}
		}
		if at%(50*time.Millisecond) == 0 {
			apply(at, core.Tick(now))
		}
	}
	for i := range out {
		out[i].refusedWait /= time.Duration(max(out[i].refused, 1))
	}
	return out
}

// poisson returns the number of arrivals in a short step with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

func usual(time.Duration) float64 { return 1 }

var everyone = []string{"a", "b", "c"}

func posts(perSecond float64) classLoad {
	return classLoad{"post", perSecond, 120 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 1, everyone}
}

func checks(perSecond float64) classLoad {
	return classLoad{"check", perSecond, 22 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 0, []string{"a"}}
}

// slowSpells makes a server five times slower for 3 s of 10.
func slowSpells(at time.Duration) float64 {
	if at%(10*time.Second) < 3*time.Second {
		return 5
	}
	return 1
}

// New work filled the slots of a loaded server, and the short calls of work that ran elsewhere
// waited behind it and were lost with all that their parents had done.
func TestCallsOfRunningWorkAreServedUnderLoad(t *testing.T) {
	long := classLoad{"post", 9, 900 * time.Millisecond, 5 * time.Second, 20 * time.Second, 1, everyone}
	short := classLoad{"post", 180, 40 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 1, everyone}
	for _, c := range []struct {
		name              string
		speed             func(time.Duration) float64
		post              classLoad
		calls, posts, gap float64 // least ratios, and by how much the calls' one rises
	}{
		{"one and a half of the work that fits", usual, posts(60), 0.98, 0.45, 0.02},
		{"a server that slows down", slowSpells, posts(60), 0.8, 0.3, 0.15},
		{"long new work", usual, long, 0.95, 0.3, -0.02},
		{"short new work that all waits longer than calls can", usual, short, 0.98, 0.45, 0.1},
	} {
		for seed := range uint64(2) {
			with, without := replayClasses(true, seed, c.speed, c.post, checks(70)), replayClasses(false, seed, c.speed, c.post, checks(70))
			t.Logf("%s: calls in time %.3f, before %.3f; posts %.3f, before %.3f; refused call held %v", c.name,
				with[1].ratio(), without[1].ratio(), with[0].ratio(), without[0].ratio(), with[1].refusedWait)
			assert.Assert(t, with[1].ratio() >= c.calls && with[1].ratio() >= without[1].ratio()+c.gap)
			assert.Assert(t, with[0].ratio() >= c.posts)
			assert.Assert(t, with[1].refusedWait < 100*time.Millisecond, "%v", with[1].refusedWait)
		}
	}
}

// A call was refused for the mean time that running work still took, though one slot was free
// soon, and for the time that a few slow ones of its class took.
func TestCallIsNotRefusedForOtherWork(t *testing.T) {
	cfg := admission.DefaultConfig(6)
	cfg.ReservedSlots, cfg.CallsFirst = 0, true
	core := admission.New(cfg)
	now, id := ident.Instant(time.Hour), admission.ID(0)
	arrive := func(class admission.Class, caller string, left time.Duration) []admission.Command {
		id++
		return core.Arrive(admission.Arrival{ID: id, Class: class, Caller: caller, Deadline: now.Add(left)}, now)
	}
	for i := range 60 {
		arrive("check", "a", 250*time.Millisecond)
		took := 22 * time.Millisecond
		if i%5 == 0 {
			took *= 3
		}
		now = now.Add(took)
		core.Finish(id, now)
		arrive("post", everyone[i%3], 4*time.Second)
		now = now.Add(600 * time.Millisecond)
		core.Finish(id, now)
	}
	start := arrive("check", "a", 60*time.Millisecond)
	assert.DeepEqual(t, start, []admission.Command{admission.Start{ID: id}})
	core.Cancel(id, now)
	for range 6 {
		arrive("post", "a", 4*time.Second)
		now = now.Add(95 * time.Millisecond)
	}
	assert.Equal(t, core.RunningCount(), 6)
	assert.Equal(t, len(arrive("check", "a", 250*time.Millisecond)), 0)
	assert.Equal(t, len(core.Tick(now)), 0, "refused by the tick")
}

// Calls alone are twice the work that fits: the class of new work still gets more than a
// quarter of their ratio.
func TestCallsDoNotStarveNewWork(t *testing.T) {
	for seed := range uint64(2) {
		r := replayClasses(true, seed, usual, posts(30), checks(500))
		t.Logf("posts in time %.3f, calls %.3f", r[0].ratio(), r[1].ratio())
		assert.Assert(t, r[0].ratio() >= 0.25*r[1].ratio())
	}
}

// Requests of the more urgent class took longer, went behind the others and were served less
// often.
func TestUrgentClassIsServedAsOften(t *testing.T) {
	urgent, other := posts(40), posts(40)
	urgent.work, urgent.priority, urgent.name = 2*urgent.work, 0, "urgent"
	for seed := range uint64(2) {
		with, without := replayClasses(true, seed, usual, urgent, other), replayClasses(false, seed, usual, urgent, other)
		t.Logf("urgent %.3f, others %.3f; before %.3f and %.3f", with[0].ratio(), with[1].ratio(), without[0].ratio(), without[1].ratio())
		assert.Assert(t, with[0].ratio() >= with[1].ratio()-0.05)
		assert.Assert(t, with[1].ratio() >= 0.25*with[0].ratio())
		assert.Assert(t, without[0].ratio() < without[1].ratio()-0.05)
	}
}
