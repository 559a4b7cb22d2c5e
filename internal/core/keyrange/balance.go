package keyrange

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Thresholds of moves for balance. A move makes its keys unavailable for about a
// heartbeat, so that load moves only where requests wait.
const (
	busyEnough  = 0.95 // use of the own slots below which load moves nothing
	idleFactor  = 0.6  // the receiver is at most this busy in terms of the giver
	fewKeys     = 0.5  // a server with less than this part of its share has few
	surplusKeys = 1.1  // a server with more than this part of its share has a surplus
)

// balance marks a part of the own keys for another server: for one that has few
// keys, as after it joined, or for one that is far less busy.
func (a *Agent) balance(now ident.Instant, cs []Candidate) {
	if len(a.gifts) > 0 || a.unclear || now < a.balanceAt || !a.keepsServing(now) || !a.ready {
		return
	}
	a.load.decay(a.cfg.BalanceInterval)
	a.balanceAt = now.Add(a.cfg.BalanceInterval)
	if !a.share(cs) && a.relieve(cs) {
		a.balanceAt = now.Add(a.cfg.BalanceCooldown)
	}
}

// share gives a surplus of keys to a server that has few. Givers and receivers
// are paired by their order, so that givers who decide at once do not all choose
// the same receiver.
func (a *Agent) share(cs []Candidate) bool {
	var givers, receivers []Candidate
	slots := 0
	for _, c := range cs {
		if c.Ready && c.Alive {
			slots += c.Slots
		}
	}
	own, place := 0, -1
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		fair := float64(int(MaxKey)+1) * float64(c.Slots) / float64(slots)
		keys := a.table.KeyCount(c.Owner.Member.Host)
		switch {
		case float64(keys) < fewKeys*fair:
			receivers = append(receivers, c)
		case float64(keys) > surplusKeys*fair:
			if c.Owner.Member == a.member {
				place, own = len(givers), keys-int(fair)
			}
			givers = append(givers, c)
		}
	}
	if place < 0 || len(receivers) == 0 {
		return false
	}
	to := receivers[place%len(receivers)]
	return a.giveKeys(own, to.Owner)
}

// giveKeys marks about n keys: of the ends of the own rows, the one that is asked
// for least.
func (a *Agent) giveKeys(n int, to Owner) bool {
	var best Span
	var of Row
	found, least := false, 0.0
	for _, r := range a.table.Rows {
		if r.Owner != a.self() || n <= 0 {
			continue
		}
		for _, s := range ends(r.Span, n) {
			load := a.load.of(s) / float64(s.Len())
			if !found || load < least || load == least && s.Len() > best.Len() {
				best, of, found, least = s, r, true, load
			}
		}
	}
	if found {
		a.giveRow(of, best, to)
	}
	return found
}

// ends returns the first and the last n keys of a span, or the span if it has no
// more.
func ends(s Span, n int) []Span {
	if n >= s.Len() {
		return []Span{s}
	}
	return []Span{{s.From, s.From + Key(n-1)}, {s.To - Key(n-1), s.To}}
}

// mostGifts bounds the ranges that one relief gives away: they move at the same
// time, and each may split a row.
const mostGifts = 8

// mostRows bounds the rows of one owner: with their fences and handovers they fit
// into the 4 KiB that a backend server reads of the answer to its heartbeat.
const mostRows = 64

// relieve deals the busiest buckets of an overloaded server out to those with
// room, so that hot keys that lie close together end up at several servers. It
// reports whether it did.
func (a *Agent) relieve(cs []Candidate) bool {
	room, busy, mean := a.room(cs)
	if busy < busyEnough || len(room) == 0 {
		return false
	}
	hot, total := a.hotBuckets()
	gave := false
	for _, b := range hot {
		if busy <= mean+closeEnough || len(a.gifts) >= mostGifts {
			break
		}
		part := useOf(b, total, room[0].busy0)
		to := roomiest(room)
		if mean-to.busy < part*fitting || a.rowsOf(to.owner) >= mostRows || a.rowsOf(a.self()) >= mostRows {
			continue
		}
		a.giveRow(b.row, b.Span, to.owner)
		to.busy += part
		busy -= part
		gave = true
	}
	return gave
}

const (
	closeEnough = 0.1 // above the mean use, a server needs no more relief
	fitting     = 0.7 // a bucket goes where at least this part of it has room
)

// receiver is a server that may be given keys, with its use of slots as it will be.
type receiver struct {
	owner Owner
	busy  float64
	busy0 float64 // of the giver, before the relief
}

// room returns the servers that are far less busy than this daemon's, this one's
// use, and the mean use of all.
func (a *Agent) room(cs []Candidate) (to []*receiver, busy, mean float64) {
	n := 0
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		n++
		mean += c.Utilization
		if c.Owner == a.self() {
			busy = c.Utilization
		}
	}
	for _, c := range cs {
		if c.Ready && c.Alive && c.Owner != a.self() && c.Utilization <= idleFactor*busy {
			to = append(to, &receiver{owner: c.Owner, busy: c.Utilization, busy0: busy})
		}
	}
	return to, busy, mean / float64(max(n, 1))
}

func roomiest(to []*receiver) *receiver {
	best := to[0]
	for _, r := range to {
		if r.busy < best.busy {
			best = r
		}
	}
	return best
}

// rowsOf counts the rows of an owner, with those it is about to be given.
func (a *Agent) rowsOf(o Owner) int {
	n := 0
	for _, r := range a.table.Rows {
		if r.Owner == o {
			n++
		}
	}
	for _, g := range a.gifts {
		if g.to == o || o == a.self() { // a gift may split an own row
			n++
		}
	}
	return n
}

// bucket is a range of keys with its load.
type bucket struct {
	Span
	row  Row // that it is part of
	load float64
}

// hotBuckets returns the buckets of the own rows, the busiest first, and the load
// of all.
func (a *Agent) hotBuckets() (hot []bucket, total float64) {
	for _, r := range a.table.Rows {
		if r.Owner != a.self() {
			continue
		}
		for b := int(r.From) >> bucketBits; b <= int(r.To)>>bucketBits; b++ {
			s := Span{Key(b << bucketBits), Key(b<<bucketBits | (1<<bucketBits - 1))}.cut(r.Span)
			if l := a.load.of(s); l > 0 {
				hot = append(hot, bucket{s, r, l})
				total += l
			}
		}
	}
	slices.SortFunc(hot, func(x, y bucket) int { return cmp.Compare(y.load, x.load) })
	return hot, total
}

// useOf is the use of slots that a bucket accounts for.
func useOf(b bucket, total, busy float64) float64 { return busy * b.load / total }
