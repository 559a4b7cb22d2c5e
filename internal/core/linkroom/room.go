package linkroom

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// otherWindow is the time over which the rate of other traffic is averaged.
	otherWindow = time.Second
	// plannedShare is the part of the bodies' rate that is promised, as other traffic comes
	// and goes.
	plannedShare = 0.95
	// maxAway bounds the distance of a sender, as a slow one looks like one that is far away.
	maxAway = 100 * time.Millisecond
	// maxSenders bounds the senders whose distance is known.
	maxSenders = 1024
)

// ID identifies an admitted body.
type ID uint64

// Body is a body that a sender announces.
type Body struct {
	From     ident.Host
	Size     int           // bytes
	Class    string        // bodies of a class need about the same work once they have arrived
	Priority int           // 0 is the most urgent
	Target   ident.Instant // the answer should be ready by then; zero means the deadline
	Deadline ident.Instant // the answer must be ready by then
	// Kept is set for the body of an answer: its request has run, so that it is taken also
	// when it is late.
	Kept bool
}

// Grant allows the sender of a body to send so many more bytes.
type Grant struct {
	ID    ID
	Bytes int
}

// entry is an admitted body of which bytes are still missing.
type entry struct {
	Body
	id       ID
	work     time.Duration
	due      ident.Instant // its place in the order: it has to have arrived by then
	granted  int
	arrived  int
	usedAt   ident.Instant // last grant to an idle sender, or last arrival
	missing  float64       // bytes not arrived; kept for the sums
	lastByte ident.Instant // it has to have arrived by then to be of use
}

// before reports whether e passes before o.
func (e *entry) before(o *entry) bool {
	if e.Priority != o.Priority {
		return e.Priority < o.Priority
	}
	return e.due < o.due
}

// Room is the state of the link of one host. It is not safe for concurrent use.
type Room struct {
	cfg   Config
	queue []*entry // in the order in which they pass
	byID  map[ID]*entry
	last  ID

	tokens   float64 // bytes that may be granted now
	at       ident.Instant
	other    float64 // bytes received since at that were not granted
	otherAvg float64 // bytes per second of them

	work workTimes
	// away holds the least time by which credit and bytes of a sender travelled longer than
	// InFlight. The least one, since a full link delays the bytes of near senders as well.
	away map[ident.Host]time.Duration
}

// New returns the room of a link with nothing on it.
func New(c Config, now ident.Instant) *Room {
	return &Room{cfg: c, byID: make(map[ID]*entry), tokens: c.inFlightBytes(), at: now, work: make(workTimes), away: make(map[ident.Host]time.Duration)}
}

// RecordOther records bytes that have arrived without a grant, such as heads and short bodies.
func (r *Room) RecordOther(bytes int) { r.other += float64(max(bytes, 0)) }

// RecordWork records how long the answer to a request took once its body had arrived.
func (r *Room) RecordWork(class string, d time.Duration) { r.work.record(class, d) }

// refill adds the credit for the time since the last call and takes off what other traffic
// has used of it.
func (r *Room) refill(now ident.Instant) {
	dt := now.Sub(r.at).Seconds()
	if dt <= 0 {
		return
	}
	share := min(dt/otherWindow.Seconds(), 1)
	r.otherAvg += (r.other/dt - r.otherAvg) * share
	earned := max(r.cfg.Rate*r.cfg.Share*dt-r.other, r.cfg.Rate*r.cfg.MinShare*dt)
	r.tokens = min(r.tokens+earned, r.cfg.inFlightBytes())
	r.at, r.other = now, 0
}

// bodyRate returns the bytes per second that bodies get.
func (r *Room) bodyRate() float64 {
	return max(r.cfg.Rate*r.cfg.Share-r.otherAvg, r.cfg.Rate*r.cfg.MinShare)
}

// timeOf returns how long some bytes take.
func (r *Room) timeOf(bytes float64) time.Duration {
	return time.Duration(bytes / (r.bodyRate() * plannedShare) * float64(time.Second))
}

// leastTimeOf returns how long some bytes take with nothing else on the link.
func (r *Room) leastTimeOf(bytes float64) time.Duration {
	return time.Duration(bytes / r.cfg.Rate * float64(time.Second))
}

// Wait returns how long a body that comes now waits for those before it.
func (r *Room) Wait(now ident.Instant) time.Duration {
	r.refill(now)
	var sum float64
	for _, e := range r.queue {
		sum += e.missing
	}
	return r.timeOf(sum)
}

// Admit takes a body into the order and returns its ID. It returns false and the time until
// the link is free if the body cannot arrive and be worked on before its deadline, or only at
// the cost of a body that is as urgent and was admitted before.
func (r *Room) Admit(now ident.Instant, b Body) (id ID, retryAfter time.Duration, ok bool) {
	r.refill(now)
	work := min(r.work.of(b.Class), b.Deadline.Sub(now)/2) // a class whose work grew must not be refused for good
	e := &entry{Body: b, work: work, missing: float64(b.Size), usedAt: now, lastByte: b.Deadline.Add(-work)}
	e.due = e.lastByte
	if b.Target != 0 && b.Target < b.Deadline {
		e.due = b.Target.Add(-work)
	}
	if !r.fits(now, e) {
		e.due = e.lastByte
		if !b.Kept && !r.fits(now, e) {
			return 0, r.Wait(now), false
		}
	}
	r.last++
	e.id = r.last
	r.byID[e.id] = e
	r.queue = slices.Insert(r.queue, r.place(e), e)
	return e.id, 0, true
}

// place returns the index at which e enters the order.
func (r *Room) place(e *entry) int {
	for i, o := range r.queue {
		if e.before(o) {
			return i
		}
	}
	return len(r.queue)
}

// fits reports whether e arrives when it is due, and whether all bodies behind it that are as
// urgent and may still arrive when they are due do so. Less urgent ones give way.
func (r *Room) fits(now ident.Instant, e *entry) bool {
	at := r.place(e)
	var ahead float64
	for _, o := range r.queue[:at] {
		ahead += o.missing
	}
	if now.Add(r.timeOf(ahead+e.missing)) > e.due {
		return false
	}
	for _, o := range r.queue[at:] {
		if o.Priority > e.Priority {
			break
		}
		ahead += o.missing
		atBest, with := now.Add(r.leastTimeOf(ahead)), now.Add(r.timeOf(ahead+e.missing))
		if atBest <= o.due && with > o.due {
			return false
		}
	}
	return true
}

// Arrived records that some bytes of a body have arrived. A body that is complete is forgotten.
func (r *Room) Arrived(now ident.Instant, id ID, bytes int) {
	e := r.byID[id]
	if e == nil || bytes <= 0 {
		return
	}
	if e.arrived == 0 {
		r.recordDistance(e.From, now.Sub(e.usedAt))
	}
	e.arrived += bytes
	e.missing = float64(max(e.Size-e.arrived, 0))
	e.usedAt = now
	if e.arrived >= e.Size {
		r.Remove(id)
	}
}

// recordDistance records the time from the first credit of a body to its first bytes.
func (r *Room) recordDistance(from ident.Host, d time.Duration) {
	d = min(max(d-r.cfg.InFlight, 0), maxAway)
	if old, known := r.away[from]; known && old > d || !known && len(r.away) < maxSenders {
		r.away[from] = d
	}
}

// Remove forgets a body, which has arrived or is not going to.
func (r *Room) Remove(id ID) {
	e := r.byID[id]
	if e == nil {
		return
	}
	delete(r.byID, id)
	r.queue = slices.DeleteFunc(r.queue, func(o *entry) bool { return o == e })
}

// Step returns the credit to grant now, the bodies that can no longer arrive in time, and the
// time until the next call if no byte arrives before; zero means that nothing waits. The late
// bodies are forgotten. One that was granted whole is not late: it may have been sent whole.
func (r *Room) Step(now ident.Instant) (grants []Grant, late []ID, next time.Duration) {
	r.refill(now)
	for _, e := range slices.Clone(r.queue) {
		if !e.Kept && e.granted < e.Size && now.Add(r.leastTimeOf(e.missing)) > e.lastByte {
			late = append(late, e.id)
			r.Remove(e.id)
		}
	}
	var onTheWay float64
	for _, e := range r.queue {
		if !r.isStale(now, e) {
			onTheWay += r.atLink(e, 0)
		}
	}
	for _, e := range r.queue {
		n, full := 0, false
		for !r.isStale(now, e) && e.granted+n < e.Size && !full {
			piece := min(r.cfg.Piece, e.Size-e.granted-n)
			if e.granted+n-e.arrived+piece > r.cfg.bodyBytes()+int(r.travelling(e)) {
				break
			}
			more := r.atLink(e, n+piece) - r.atLink(e, n)
			if full = r.tokens < float64(piece) || onTheWay+more > r.cfg.inFlightBytes(); !full {
				n += piece
				r.tokens -= float64(piece)
				onTheWay += more
			}
		}
		if n > 0 {
			if e.granted == e.arrived {
				e.usedAt = now
			}
			e.granted += n
			grants = append(grants, Grant{e.id, n})
		}
		if full {
			break // a small piece of a later body must not take what a large one waits for
		}
	}
	return grants, late, r.untilNext()
}

// travelling returns how many granted bytes of a body may be on their way and not yet at the
// link, because their sender is far away.
func (r *Room) travelling(e *entry) float64 { return r.bodyRate() * r.away[e.From].Seconds() }

// atLink returns how many bytes of a body wait for the link at most, with some more granted.
func (r *Room) atLink(e *entry, more int) float64 {
	return max(float64(e.granted+more-e.arrived)-r.travelling(e), 0)
}

// isStale reports whether the sender of a body has held credit for long without use.
func (r *Room) isStale(now ident.Instant, e *entry) bool {
	return e.granted > e.arrived && now.Sub(e.usedAt) > r.cfg.StaleAfter
}

// untilNext returns the time until there is credit for another piece, or until a sender may
// be stale or a body late if that is what the others wait for.
func (r *Room) untilNext() time.Duration {
	if len(r.queue) == 0 {
		return 0
	}
	first := slices.IndexFunc(r.queue, func(e *entry) bool { return e.granted < e.Size })
	if first < 0 {
		return r.cfg.StaleAfter / 4
	}
	piece := min(r.cfg.Piece, r.queue[first].Size-r.queue[first].granted)
	if lacking := float64(piece) - r.tokens; lacking > 0 {
		return max(r.timeOf(lacking), time.Millisecond)
	}
	return r.cfg.StaleAfter / 4
}
