package admission

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Limited servers: a server in trouble may state how many requests per second it accepts,
// whatever number of its slots is free. Core then starts a request only if a token bucket
// has one for it, and refuses at once what the rate cannot start before its deadline. Each
// request costs the server one token whether it is short or long, so that short requests
// gain nothing by going first: the queue is ordered by priority and arrival.

// limitBurst is the time whose tokens a limited server may receive at once. It covers the
// interval between two ticks, and is short against the seconds over which servers count.
const limitBurst = 250 * time.Millisecond

// startLimit is a token bucket that limits the requests started per second, to the lower of
// what the server states and what it tolerates while it is cold.
type startLimit struct {
	stated    float64 // by the server; zero: no limit
	cold      coldStart
	perSecond float64 // in force since updatedAt; zero: no limit
	tokens    float64
	updatedAt ident.Instant
}

// set changes the limit that the server states.
func (l *startLimit) set(perSecond float64, now ident.Instant) {
	l.refill(now)
	l.stated = perSecond
	l.apply(now)
}

// setCold changes the bound while the server is cold, and the end of that time.
func (l *startLimit) setCold(b ColdBound, until, now ident.Instant) {
	l.refill(now)
	l.cold.set(b, until)
	l.apply(now)
}

// apply puts in force what limits the starts now. A limit that begins starts without tokens,
// because requests of the time before it are still running.
func (l *startLimit) apply(now ident.Instant) {
	if l.perSecond == 0 {
		l.tokens = 0
	}
	l.perSecond = l.stated
	if r := l.cold.rate(now); r > 0 && (l.stated == 0 || r < l.stated) {
		l.perSecond = r
	}
	l.updatedAt = max(l.updatedAt, now)
	l.tokens = min(l.tokens, l.capacity())
}

// capacity returns the maximum number of tokens.
func (l *startLimit) capacity() float64 { return max(l.perSecond*limitBurst.Seconds(), 1) }

// refill adds the tokens of the time since the last update.
func (l *startLimit) refill(now ident.Instant) {
	if passed := now.Sub(l.updatedAt); passed > 0 {
		l.tokens = min(l.tokens+passed.Seconds()*l.perSecond, l.capacity())
		l.apply(now)
	}
}

// allows reports whether a request may start at the instant of the last update.
func (l *startLimit) allows() bool {
	return (l.perSecond == 0 || l.tokens >= 1) && l.cold.freeIn(l.updatedAt) == 0
}

// spend takes the token of a request that starts at the instant of the last update.
func (l *startLimit) spend() {
	if l.perSecond > 0 {
		l.tokens--
	}
	l.cold.record(l.updatedAt)
}

// waitFor returns the time until the limit lets a request start that has the given number
// of requests ahead of it.
func (l *startLimit) waitFor(ahead int) time.Duration {
	free := l.cold.freeIn(l.updatedAt)
	if l.perSecond == 0 {
		return free
	}
	missing := float64(ahead+1) - l.tokens
	wait := max(time.Duration(missing/l.perSecond*float64(time.Second)), free)
	if l.stated == 0 {
		wait = min(wait, max(l.cold.warmIn(l.updatedAt), l.cold.maybe.Sub(l.updatedAt)))
	}
	return wait
}

// SetLimit sets the number of requests that may start per second; zero means any number.
// Waiting requests keep their order.
func (c *Core) SetLimit(perSecond float64, now ident.Instant) []Command {
	c.limit.set(perSecond, now)
	return c.dispatch(now, nil)
}

// LimitUse returns the requests that arrive per second, by an average over inflowWindow, as
// a fraction of the limit that the server states; zero without one.
func (c *Core) LimitUse(now ident.Instant) float64 {
	if c.limit.stated == 0 {
		return 0
	}
	c.arrivals.decay(now)
	return c.arrivals.requests / inflowWindow.Seconds() / c.limit.stated
}

// queuePosition returns the number of queued requests that are ordered before w.
func (c *Core) queuePosition(w *waitingRequest) int {
	n := len(c.queue)
	for n > 0 && c.queue[n-1].rank > w.rank {
		n--
	}
	return n
}

// lead returns what is added to the arrival of a request for its rank.
func (c *Core) lead(a *Arrival, expected time.Duration) time.Duration {
	if c.limit.perSecond > 0 {
		return time.Duration(a.Priority) * c.cfg.MaxOvertake
	}
	return min(time.Duration(c.cfg.ServiceTimeWeight*float64(expected)), c.cfg.MaxOvertake)
}
