package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// modelRequest is a request in a queueModel.
type modelRequest struct {
	arrived, deadline ident.Instant
	long              bool
}

// queueModel keeps the waiting and running requests in plain maps and checks every
// command of the core against the guarantees of the package.
type queueModel struct {
	t       *rapid.T
	cfg     admission.Config
	core    *admission.Core
	waiting map[admission.ID]modelRequest
	running map[admission.ID]modelRequest
	refused int
}

// apply carries out the commands that the core returned at now.
func (q *queueModel) apply(now ident.Instant, cmds []admission.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case admission.Start:
			q.start(now, c.ID)
		case admission.Refuse:
			r, ok := q.waiting[c.ID]
			assert.Assert(q.t, ok, "refused request %d that does not wait", c.ID)
			q.checkRefusal(now, r, c)
			delete(q.waiting, c.ID)
			q.refused++
		}
	}
	assert.Assert(q.t, len(q.running) <= q.cfg.Slots, "%d run", len(q.running))
	assert.Assert(q.t, q.core.ReservedSlots() >= q.cfg.ReservedSlots && q.core.ReservedSlots() < q.cfg.Slots)
}

// start checks that the request may start: a long request uses no reserved slot, and
// no other request that waits arrived more than MaxOvertake earlier.
func (q *queueModel) start(now ident.Instant, id admission.ID) {
	r, ok := q.waiting[id]
	assert.Assert(q.t, ok, "started request %d that does not wait", id)
	assert.Assert(q.t, now <= r.deadline, "started after its deadline")
	delete(q.waiting, id)
	free := q.cfg.Slots - len(q.running)
	q.running[id] = r
	if free <= q.core.ReservedSlots() {
		assert.Assert(q.t, !r.long, "long work on a reserved slot")
		return
	}
	for _, o := range q.waiting {
		lead := r.arrived.Sub(o.arrived)
		assert.Assert(q.t, lead <= q.cfg.MaxOvertake, "overtook a request that arrived %v earlier", lead)
	}
}

// checkRefusal checks that the core does not refuse the only request of an idle
// server whose deadline is well ahead, and refuses with QueueFull only when the
// queue is full.
func (q *queueModel) checkRefusal(now ident.Instant, r modelRequest, c admission.Refuse) {
	idle := len(q.running) == 0 && len(q.waiting) == 1
	inTime := r.deadline.Sub(now) > 4*longTime
	assert.Assert(q.t, !idle || !inTime, "refused (%d) by an idle server with %v left", c.Reason, r.deadline.Sub(now))
	if c.Reason == admission.QueueFull {
		assert.Assert(q.t, len(q.waiting) > q.cfg.MaxQueue)
	}
}

const (
	shortTime = 10 * time.Millisecond
	longTime  = time.Second
)

func classOf(long bool) (admission.Class, time.Duration) {
	if long {
		return "long", longTime
	}
	return "short", shortTime
}

// TestPromisesHoldInAnyOrderOfEvents generates random arrivals, ends, cancellations
// and pauses and checks the commands of the core with a queueModel.
func TestPromisesHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 5).Draw(t, "slots")
		cfg := admission.DefaultConfig(slots)
		cfg.ReservedSlots = rapid.IntRange(0, slots-1).Draw(t, "reserved")
		cfg.MaxQueue = 6
		cfg.MaxOvertake = 300 * time.Millisecond
		core := admission.New(cfg)
		q := &queueModel{t: t, cfg: cfg, core: core, waiting: map[admission.ID]modelRequest{}, running: map[admission.ID]modelRequest{}}
		now := trainClasses(core)
		var id admission.ID = 1000
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				id++
				long := rapid.IntRange(0, 3).Draw(t, "long") == 0
				class, _ := classOf(long)
				due := now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "due")) * time.Millisecond)
				q.waiting[id] = modelRequest{arrived: now, deadline: due, long: long}
				q.apply(now, core.Arrive(admission.Arrival{ID: id, Class: class, Deadline: due}, now))
			case 3:
				if first, ok := lowestID(q.running); ok {
					delete(q.running, first)
					q.apply(now, core.Finish(first, now))
				}
			case 4:
				if first, ok := lowestID(q.waiting); ok {
					delete(q.waiting, first)
					q.apply(now, core.Cancel(first, now))
				}
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
				q.apply(now, core.Tick(now))
			}
			assert.Equal(t, core.RunningCount(), len(q.running))
			assert.Equal(t, core.WaitingCount(), len(q.waiting))
		}
	})
}

// trainClasses runs requests of both classes through the core, so that it has
// estimates of their service times, and returns the instant after the last of them.
func trainClasses(core *admission.Core) ident.Instant {
	var now ident.Instant = 1
	for i := range admission.ID(40) {
		class, served := classOf(i%10 == 9)
		core.Arrive(admission.Arrival{ID: i, Class: class, Deadline: now.Add(time.Hour)}, now)
		now = now.Add(served)
		core.Finish(i, now)
	}
	return now
}

// lowestID returns the lowest ID in m, that of the oldest request, or false if m is
// empty.
func lowestID(m map[admission.ID]modelRequest) (admission.ID, bool) {
	var best admission.ID
	for id := range m {
		if best == 0 || id < best {
			best = id
		}
	}
	return best, best != 0
}

// TestSharesFollowWeightsAndAreLent keeps the slots busy with requests of two
// tenants and checks that the work of each is in proportion to its weight. With one
// tenant, it checks that this tenant may use all slots.
func TestSharesFollowWeightsAndAreLent(t *testing.T) {
	cfg := admission.DefaultConfig(4)
	cfg.MaxQueue = 1000
	cfg.TenantWeights = map[ident.Tenant]float64{"a": 3, "b": 1}
	run := func(queued map[ident.Tenant]int) map[ident.Tenant]int {
		core := admission.New(cfg)
		now := trainClasses(core)
		tenants, served := map[admission.ID]ident.Tenant{}, map[ident.Tenant]int{}
		var active []admission.ID
		apply := func(cmds []admission.Command) {
			for _, c := range cmds {
				id := c.(admission.Start).ID
				active = append(active, id)
				served[tenants[id]]++
			}
		}
		id := admission.ID(1000)
		arrive := func(tenant ident.Tenant) {
			id++
			tenants[id] = tenant
			apply(core.Arrive(admission.Arrival{ID: id, Class: "short", Tenant: tenant, Deadline: now.Add(time.Hour)}, now))
		}
		for tenant, n := range queued {
			for range n {
				arrive(tenant)
			}
		}
		for range 2000 {
			now = now.Add(shortTime)
			first := active[0]
			active = active[1:]
			arrive(tenants[first])
			apply(core.Finish(first, now))
		}
		return served
	}
	both := run(map[ident.Tenant]int{"a": 50, "b": 500})
	ratio := float64(both["a"]) / float64(both["b"])
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "%v", both)
	alone := run(map[ident.Tenant]int{"b": 50})
	assert.Assert(t, alone["b"] > 2000, "%v", alone)
}

// TestLongWorkNeverStarves keeps one slot busy with short requests that arrive
// without pause, and checks that they overtake a waiting long request for no longer
// than MaxOvertake.
func TestLongWorkNeverStarves(t *testing.T) {
	cfg := admission.DefaultConfig(1)
	cfg.MaxOvertake = 200 * time.Millisecond
	core := admission.New(cfg)
	now := trainClasses(core)
	due := now.Add(time.Hour)
	core.Arrive(admission.Arrival{ID: 1000, Class: "short", Deadline: due}, now)
	const long = admission.ID(2000)
	core.Arrive(admission.Arrival{ID: long, Class: "long", Deadline: due}, now)
	for id := admission.ID(1001); ; id++ {
		core.Arrive(admission.Arrival{ID: id, Class: "short", Deadline: due}, now)
		now = now.Add(shortTime)
		started := core.Finish(id-1, now)[0].(admission.Start).ID
		if started == long {
			break
		}
		assert.Equal(t, started, id)
		assert.Assert(t, time.Duration(id-1000)*shortTime <= cfg.MaxOvertake+shortTime, "starved")
	}
	cmds := core.Arrive(admission.Arrival{ID: 3000, Class: "short", Deadline: now.Add(longTime / 2)}, now)
	refused := cmds[0].(admission.Refuse) // refused on arrival; RetryAfter covers the running long request
	assert.Equal(t, refused.Reason, admission.WouldMissDeadline)
	assert.Assert(t, refused.RetryAfter > longTime/2, "%v", refused.RetryAfter)
}
