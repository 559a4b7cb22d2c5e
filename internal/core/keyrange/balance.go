package keyrange

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Thresholds of moves for balance. The keys of a move are unavailable for about
// one heartbeat, so the agent moves load only where requests wait.
const (
	overloadUtilization = 0.95 // minimum utilization of the giver for a move of load
	maxReceiverLoad     = 1.5  // limit of a receiver's utilization: a request waits there for half a service time on average
	receiverFactor      = 0.6  // maximum utilization of a receiver, as a fraction of the giver's
	fewKeysFactor       = 0.5  // a server with less than this fraction of its fair share receives keys
	surplusKeysFactor   = 1.1  // a server with more than this fraction of its fair share gives keys
)

// planBalance plans handoffs of keys of this daemon to a server that has few keys,
// for example because it just joined, or else to servers with a much lower
// utilization.
func (a *Agent) planBalance(now ident.Instant, cs []Candidate) {
	if len(a.handoffs) > 0 || a.writeUnclear || now < a.nextBalanceAt || !a.keepsServing(now) || !a.ready {
		return
	}
	a.load.decay(a.cfg.BalanceInterval)
	a.nextBalanceAt = now.Add(a.cfg.BalanceInterval)
	if a.handOffExcess(cs) || !a.shareSurplus(cs) && a.handOffHotRanges(cs) {
		a.nextBalanceAt = now.Add(a.cfg.BalanceCooldown)
	}
}

// shareSurplus hands off surplus keys to a server that has few, and reports
// whether it did. It pairs givers with receivers by their order, so that givers
// that decide at the same time do not all choose the same receiver.
func (a *Agent) shareSurplus(cs []Candidate) bool {
	var givers, receivers []Candidate
	slots := 0
	for _, c := range cs {
		if c.Ready && c.Alive {
			slots += c.Slots
		}
	}
	surplus, position := 0, -1
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		fair := float64(int(MaxKey)+1) * float64(c.Slots) / float64(slots)
		keys := a.table.KeyCount(c.Owner.Member.Host)
		switch {
		case c.Limited || c.Cold && float64(keys) < fewKeysFactor*fair:
		case float64(keys) < fewKeysFactor*fair:
			receivers = append(receivers, c)
		case float64(keys) > surplusKeysFactor*fair:
			if c.Owner.Member == a.member {
				position, surplus = len(givers), keys-int(fair)
			}
			givers = append(givers, c)
		}
	}
	if position < 0 || len(receivers) == 0 {
		return false
	}
	to := receivers[position%len(receivers)]
	return a.handOffKeys(surplus, to.Owner)
}

// handOffKeys hands off about n keys, and reports whether it did. It chooses the
// end of a row of this daemon with the lowest load per key.
func (a *Agent) handOffKeys(n int, to Owner) bool {
	var best Span
	var row Row
	found, least := false, 0.0
	for _, r := range a.table.Rows {
		if r.Owner != a.selfOwner() || n <= 0 {
			continue
		}
		for _, s := range ends(r.Span, n) {
			load := a.load.sumOver(s) / float64(s.Len())
			if !found || load < least || load == least && s.Len() > best.Len() {
				best, row, found, least = s, r, true, load
			}
		}
	}
	if found {
		a.addHandoff(row, best, to)
	}
	return found
}

// ends returns the first n and the last n keys of a span, or the whole span if it
// has at most n keys.
func ends(s Span, n int) []Span {
	if n >= s.Len() {
		return []Span{s}
	}
	return []Span{{s.From, s.From + Key(n-1)}, {s.To - Key(n-1), s.To}}
}

// maxBalanceHandoffs bounds the ranges that one call of handOffHotRanges hands
// off: they move at the same time, and each may split a row.
const maxBalanceHandoffs = 32

// maxRowsPerOwner bounds the rows of one owner: with their fencing tokens and
// transfer tokens they fit into the 4 KiB that a backend server reads of the
// answer to its heartbeat.
const maxRowsPerOwner = 64

// handOffHotRanges hands off the busiest ranges of an overloaded server to servers with
// free capacity, and reports whether it did. It always chooses the least utilized
// receiver, and no range larger than its free capacity, so that hot keys that lie close
// together end up at several servers.
func (a *Agent) handOffHotRanges(cs []Candidate) bool {
	receivers, utilization, mean := a.loadReceivers(cs)
	if utilization < overloadUtilization || len(receivers) == 0 {
		return false
	}
	total := a.ownLoad()
	if total == 0 {
		return false
	}
	offered := max(utilization, offeredUtilization(total, a.ownSlots(cs)))
	mean += (offered - utilization) / float64(readyCount(cs))
	fit := (mean - leastUtilized(receivers).utilization) / minFit
	added := false
	for _, b := range a.hotRanges(total * fit / offered) {
		if offered <= mean+balancedMargin || len(a.handoffs) >= maxBalanceHandoffs {
			break
		}
		part := offered * b.load / total
		to := leastUtilized(receivers)
		if mean-to.utilization < part*minFit || a.rowCount(to.owner) >= maxRowsPerOwner || a.rowCount(a.selfOwner()) >= maxRowsPerOwner {
			continue
		}
		a.addHandoff(b.row, b.Span, to.owner)
		to.utilization += part
		offered -= part
		added = true
	}
	return added
}

const (
	balancedMargin = 0.1 // hand off until the utilization of the giver exceeds the mean by this at most
	minFit         = 0.7 // fraction of a bucket that must fit below the mean at its receiver
)

// receiver is a server that may receive keys. Its utilization includes the planned
// handoffs.
type receiver struct {
	owner            Owner
	utilization      float64
	giverUtilization float64 // utilization of the giver before the handoffs
	slots            int     // number of requests that the server runs at once
}

// loadReceivers returns the servers with a much lower utilization than the server
// of this daemon and with a short queue, the utilization of that server, and the mean
// utilization of all servers. A move to a server with a long queue would make the keys
// unavailable for its time and serve nobody sooner.
func (a *Agent) loadReceivers(cs []Candidate) (to []*receiver, utilization, mean float64) {
	n := 0
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		n++
		mean += c.Utilization
		if c.Owner == a.selfOwner() {
			utilization = c.Utilization
		}
	}
	for _, c := range cs {
		if c.Ready && c.Alive && !c.Limited && !c.Cold && c.Owner != a.selfOwner() && c.Utilization <= receiverFactor*utilization && c.Utilization < maxReceiverLoad {
			to = append(to, &receiver{owner: c.Owner, utilization: c.Utilization, giverUtilization: utilization, slots: c.Slots})
		}
	}
	return to, utilization, mean / float64(max(n, 1))
}

func leastUtilized(to []*receiver) *receiver {
	best := to[0]
	for _, r := range to {
		if r.utilization < best.utilization {
			best = r
		}
	}
	return best
}

// rowCount returns the number of rows of an owner, including planned handoffs.
func (a *Agent) rowCount(o Owner) int {
	n := 0
	for _, r := range a.table.Rows {
		if r.Owner == o {
			n++
		}
	}
	for _, g := range a.handoffs {
		if g.to == o || o == a.selfOwner() { // a handoff may split a row of this daemon
			n++
		}
	}
	return n
}

// bucket is a range of keys with its load.
type bucket struct {
	Span
	row  Row // the row that contains the range
	load float64
}

// maxHotRange is the maximum length of a range of hotRanges, in keys. The keys of a longer
// one are hardly busy at the same time.
const maxHotRange = 64

// hotRanges divides the rows of this daemon into ranges of whole buckets that have at most
// the given load, unless a bucket alone has more, and returns those with any load, busiest
// first.
func (a *Agent) hotRanges(maxLoad float64) []bucket {
	var hot []bucket
	for _, r := range a.table.Rows {
		if r.Owner != a.selfOwner() {
			continue
		}
		current := bucket{row: r}
		flush := func() {
			if current.load > 0 {
				hot = append(hot, current)
			}
			current = bucket{row: r}
		}
		for b := int(r.From) >> bucketBits; b <= int(r.To)>>bucketBits; b++ {
			l := a.load.sumOver(bucketSpan(b).intersect(r.Span))
			if current.load > 0 && (current.load+l > maxLoad || current.Len() >= maxHotRange) {
				flush()
			}
			switch s := bucketSpan(b).intersect(r.Span); {
			case current.load > 0:
				current.To = s.To
			case l > 0:
				current.Span = s
			}
			current.load += l
		}
		flush()
	}
	slices.SortStableFunc(hot, func(x, y bucket) int { return cmp.Compare(y.load, x.load) })
	return hot
}

// bucketSpan returns the keys of a bucket.
func bucketSpan(b int) Span {
	return Span{Key(b << bucketBits), Key(b<<bucketBits | (1<<bucketBits - 1))}
}

// ownLoad returns the load of the rows of this daemon.
func (a *Agent) ownLoad() float64 {
	var sum float64
	for _, r := range a.table.Rows {
		if r.Owner == a.selfOwner() {
			sum += a.load.sumOver(r.Span)
		}
	}
	return sum
}

// readyCount returns the number of servers that take new work, at least one.
func readyCount(cs []Candidate) int {
	n := 0
	for _, c := range cs {
		if c.Ready && c.Alive {
			n++
		}
	}
	return max(n, 1)
}

// ownSlots returns the slots of the server of this daemon.
func (a *Agent) ownSlots(cs []Candidate) int {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Owner == a.selfOwner() })
	if i < 0 {
		return 1
	}
	return cs[i].Slots
}
