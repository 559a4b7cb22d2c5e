package keyrange

import (
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
	a.load.decay(a.cfg.BalanceEvery)
	a.balanceAt = now.Add(a.cfg.BalanceEvery)
	if !a.share(cs) && a.relieve(cs) {
		a.balanceAt = now.Add(a.cfg.BalanceRest)
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
		keys := a.table.KeysOf(c.Owner.Member.Host)
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
	found, least := false, 0.0
	for _, r := range a.table.Rows {
		if r.Owner != a.self() || n <= 0 {
			continue
		}
		for _, s := range ends(r.Span, n) {
			load := a.load.of(s) / float64(s.Len())
			if !found || load < least || load == least && s.Len() > best.Len() {
				best, found, least = s, true, load
			}
		}
	}
	if found {
		a.gifts = append(a.gifts, gift{Span: best, to: to})
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

// relieve gives a part of the busiest own row to the least busy server, and
// reports whether it did.
func (a *Agent) relieve(cs []Candidate) bool {
	var self Candidate
	for _, c := range cs {
		if c.Owner == a.self() {
			self = c
		}
	}
	to, ok := a.leastLoaded(cs)
	if !ok || self.Busy < busyEnough || to.Busy > idleFactor*self.Busy {
		return false
	}
	var total, most float64
	var busiest Span
	for _, r := range a.table.Rows {
		if r.Owner != a.self() {
			continue
		}
		load := a.load.of(r.Span)
		total += load
		if load > most {
			busiest, most = r.Span, load
		}
	}
	if most == 0 || busiest.Len() < 2 {
		return false
	}
	want := total * (self.Busy - to.Busy) / (2 * self.Busy)
	part, _ := a.load.part(busiest, min(want, most))
	a.gifts = append(a.gifts, gift{Span: part, to: to.Owner})
	return true
}
