package admission

import (
	"math"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Calls: while a server runs a request it may ask another server for what it needs. Such a
// call carries no mark. If it fails, the work that its parent has done is lost, and the call
// itself is short. With Config.CallsFirst, Core therefore learns which classes are calls,
// starts them before new work and keeps room for them.
//
// The evidence: requests of callers come in by way of the hosts of all services, those of a
// call only by way of the hosts of the service that makes it, and with a fraction of the time
// that others have left. A class that is taken for one of calls by mistake gains a place in
// the order and at most half of the slots, and no class starves (see order.go).

const (
	callMinArrivals = 20   // arrivals of a class before it can be told
	callMemory      = 400  // arrivals of a class after which its earlier ones count half
	callMinShare    = 0.98 // share of the arrivals of a call that one service makes
	mixMaxShare     = 0.9  // share of one service in the arrivals of a class that callers ask for, at most
	callMaxTimeLeft = 0.5  // time left of a call, relative to that of the classes that callers ask for
	maxCallers      = 64   // services counted for each class, and classes counted

	callWorkWindow = 5 * time.Second // over which the work of calls is averaged
	newWorkWeight  = 0.05            // weight of a request in the mean service time of new work
	callMaxRoom    = 0.5             // share of the slots that is kept for calls at most
	callPatience   = 0.5             // share of their time left that calls may wait on average for the end of new work
)

// callerCounts counts the arrivals of one class by the service that sent them.
type callerCounts struct {
	total    float64
	byCaller map[string]float64
	timeLeft float64 // nanoseconds, moving average
}

// topShare returns the share of the service that sent most.
func (k *callerCounts) topShare() float64 {
	top := 0.0
	for caller, n := range k.byCaller {
		if caller != "" {
			top = max(top, n)
		}
	}
	return top / max(k.total, 1)
}

// callLearner tells the classes that are calls of running work.
type callLearner struct{ byClass map[Class]*callerCounts }

// record counts an arrival.
func (l *callLearner) record(a *Arrival, now ident.Instant) {
	if l.byClass == nil {
		l.byClass = make(map[Class]*callerCounts)
	}
	k := l.byClass[a.Class]
	if k == nil {
		if len(l.byClass) >= maxCallers {
			return
		}
		k = &callerCounts{byCaller: make(map[string]float64), timeLeft: float64(a.Deadline.Sub(now))}
		l.byClass[a.Class] = k
	}
	k.total++
	if _, known := k.byCaller[a.Caller]; known || len(k.byCaller) < maxCallers {
		k.byCaller[a.Caller]++
	}
	k.timeLeft += meanSampleWeight * (float64(a.Deadline.Sub(now)) - k.timeLeft)
	if k.total >= callMemory {
		k.total /= 2
		for caller := range k.byCaller {
			k.byCaller[caller] /= 2
		}
	}
}

// isCall reports whether a class is one of calls. It needs another class at the same server
// that several services' hosts send: else all that is known is who the callers are.
func (l *callLearner) isCall(c Class) bool {
	k := l.byClass[c]
	if k == nil || k.total < callMinArrivals || k.topShare() < callMinShare {
		return false
	}
	for _, other := range l.byClass {
		if other.total >= callMinArrivals && other.topShare() <= mixMaxShare && k.timeLeft <= callMaxTimeLeft*other.timeLeft {
			return true
		}
	}
	return false
}

// callRoom is the room that is kept for calls. A free slot that nobody uses costs new work more
// than it gives calls, as long as the next slot is free soon. So room is kept only where the
// mean wait for the end of new work takes a large part of the time that calls have. Its size is
// that of square-root staffing (Halfin, Whitt 1981) for the work that arrives, not for what
// runs, since calls that found no room never ran.
type callRoom struct {
	work      float64       // slots that calls occupy, moving average
	timeLeft  time.Duration // of the calls that arrived, moving average
	newWork   time.Duration // service time of other requests, moving average
	updatedAt ident.Instant
	running   int // calls that run
}

// add adds a call that arrives: its mean service time and the time that it has left.
func (r *callRoom) add(d, left time.Duration, now ident.Instant) {
	r.decay(now)
	r.work += d.Seconds() / callWorkWindow.Seconds()
	if r.timeLeft == 0 {
		r.timeLeft = left
	}
	r.timeLeft += time.Duration(meanSampleWeight * float64(left-r.timeLeft))
}

func (r *callRoom) decay(now ident.Instant) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		r.work *= math.Exp(-passed.Seconds() / callWorkWindow.Seconds())
		r.updatedAt = now
	}
}

// recordNewWork adds the service time of a request that is no call.
func (r *callRoom) recordNewWork(served time.Duration) {
	if r.newWork == 0 {
		r.newWork = served
	}
	r.newWork += time.Duration(newWorkWeight * float64(served-r.newWork))
}

// kept returns how many of the free slots only calls may use.
func (r *callRoom) kept(slots int) int {
	if float64(r.newWork) <= callPatience*float64(slots)*float64(r.timeLeft) {
		return 0
	}
	room := int(math.Round(r.work + reserveDeviations*math.Sqrt(r.work)))
	return max(min(room, int(callMaxRoom*float64(slots)))-r.running, 0)
}
