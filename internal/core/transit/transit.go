// Package transit estimates how much longer than usual messages of other daemons were on their
// way. Daemons share no clock: a message states the sender's time, and the least difference to
// the receiver's over the last seconds stands for a message that was not held up, as in the
// base delay of LEDBAT (RFC 6817). What a message exceeds it by was spent in queues: of a full
// link, or of a host short of processor time. The package performs no I/O.
package transit

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// baseWindow is how long a least difference counts at least, and twice that at most: clocks
	// drift apart, and paths change.
	baseWindow = 10 * time.Second
	// maxDelay limits an estimate. A greater one is more likely a clock that was set.
	maxDelay = 5 * time.Second
	// forgetAfter is the silence after which a sender is forgotten.
	forgetAfter = 5 * time.Minute
)

// base holds the least differences between the clocks of a sender and of the receiver, each
// with the time of a message on its way.
type base struct {
	current, previous time.Duration
	hasPrevious       bool
	since             ident.Instant // when the current window began
	heardAt           ident.Instant
}

// Delays estimates the delays of messages from any number of senders. It is not safe for
// concurrent use.
type Delays struct {
	bases map[ident.Member]*base
}

// NewDelays returns an estimator that has seen no message.
func NewDelays() *Delays { return &Delays{bases: make(map[ident.Member]*base)} }

// Observe returns how much longer than usual a message was on its way. sent is its time by the
// sender's clock, now that of its arrival by the receiver's; both clocks have to run while a
// machine is suspended.
func (d *Delays) Observe(from ident.Member, sent, now ident.Instant) time.Duration {
	difference := now.Sub(sent)
	b := d.bases[from]
	if b == nil {
		d.forget(now)
		d.bases[from] = &base{current: difference, since: now, heardAt: now}
		return 0
	}
	b.heardAt = now
	if passed := now.Sub(b.since); passed >= baseWindow {
		b.previous, b.hasPrevious = b.current, passed < 2*baseWindow
		b.current, b.since = difference, now
	}
	b.current = min(b.current, difference)
	least := b.current
	if b.hasPrevious {
		least = min(least, b.previous)
	}
	if delay := difference - least; delay <= maxDelay {
		return delay
	}
	*b = base{current: difference, since: now, heardAt: now}
	return 0
}

// forget removes the senders that have been silent for long: each process has a clock and an
// identity of its own.
func (d *Delays) forget(now ident.Instant) {
	for m, b := range d.bases {
		if now.Sub(b.heardAt) > forgetAfter {
			delete(d.bases, m)
		}
	}
}
