// Package sharedread decides how the daemons of a failure domain share reads of a stream
// of the log service. One of them, the source, reads the stream; the others, its
// followers, ask it how recent its last read is and receive the records that it read. So
// the number of calls to the log service grows with the number of failure domains and
// not with the number of daemons.
//
// An answer is as good as a read of the follower's own: the source answers after the
// request was sent, and says how long before its answer its read was sent. So the read
// was sent at most that long before the request. No clocks are compared. The package
// performs no I/O.
package sharedread

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// rememberedRequests is the number of recent requests whose answers count.
const rememberedRequests = 16

// Config sets the limits of a follower.
type Config struct {
	MinDomain     int           // daemons in a failure domain from which reads are shared
	AnswerTimeout time.Duration // time without an answer after which another source is asked
	SkipTime      time.Duration // for which a source that did not answer is passed over
	MaxAge        time.Duration // age of a shared read from which the daemon reads by itself
	CatchUpTime   time.Duration // time in which the source sends the records of a read that the follower has not seen
	DriftPerMille int           // bound on the drift between two clocks, in 1/1000
}

// DefaultConfig returns the limits for the ownership stream.
func DefaultConfig() Config {
	return Config{
		MinDomain:     4, // below it, sharing saves fewer calls than its messages cost
		AnswerTimeout: 1200 * time.Millisecond,
		SkipTime:      5 * time.Second,
		MaxAge:        2 * time.Second, // below the lease that a read gives without support
		CatchUpTime:   300 * time.Millisecond,
		DriftPerMille: 20,
	}
}

// Member is a daemon of the own failure domain, as the follower sees it.
type Member struct {
	Host      ident.Host
	Reachable bool // it has sent a sign of life, no call to it failed since, and it does not leave
}

// Follower is the state of one daemon. It is not safe for concurrent use.
type Follower struct {
	cfg  Config
	self ident.Host

	source      ident.Host
	skipUntil   map[ident.Host]ident.Instant
	seq         uint32
	sentAt      [rememberedRequests]ident.Instant // when recent requests were sent, by sequence number modulo the length
	waitingFrom ident.Instant                     // first request to the source since its last answer; zero if none
	readSent    ident.Instant                     // the newest shared read was sent at this instant or later
	behindSince ident.Instant                     // since when a shared read has records that did not arrive; zero if none has
}

// NewFollower returns the follower of a daemon.
func NewFollower(cfg Config, self ident.Host) *Follower {
	return &Follower{cfg: cfg, self: self, skipUntil: make(map[ident.Host]ident.Instant)}
}

// NextRequest returns the source to ask now and the sequence number of the request. It
// returns false if this daemon has to read by itself: its failure domain is small, or
// no daemon with a lower host name can be asked.
func (f *Follower) NextRequest(members []Member, now ident.Instant) (source ident.Host, seq uint32, ok bool) {
	if f.waitingFrom > 0 && now.Sub(f.waitingFrom) > f.cfg.AnswerTimeout {
		f.skipUntil[f.source] = now.Add(f.cfg.SkipTime)
	}
	source, ok = f.chooseSource(members, now)
	if !ok {
		f.source, f.waitingFrom = "", 0
		return "", 0, false
	}
	if source != f.source {
		f.source, f.waitingFrom = source, 0
	}
	if f.waitingFrom == 0 {
		f.waitingFrom = now
	}
	f.seq++
	f.sentAt[f.seq%rememberedRequests] = now
	return source, f.seq, true
}

// chooseSource returns the reachable member with the lowest host name, if that is not
// this daemon.
func (f *Follower) chooseSource(members []Member, now ident.Instant) (ident.Host, bool) {
	if len(members) < f.cfg.MinDomain {
		return "", false
	}
	best := f.self
	for _, m := range members {
		if m.Reachable && m.Host < best && now >= f.skipUntil[m.Host] {
			best = m.Host
		}
	}
	return best, best != f.self
}

// ApplyAnswer applies the answer to a request: the source's last read was sent age before
// the answer, and ended at an offset that the follower has reached or not. It returns the
// instant at which, or after which, that read was sent. It returns false for an answer to
// a request that is too old.
func (f *Follower) ApplyAnswer(from ident.Host, seq uint32, age time.Duration, reached bool, now ident.Instant) (readSent ident.Instant, ok bool) {
	if f.seq-seq >= rememberedRequests || age < 0 {
		return 0, false
	}
	if from == f.source {
		f.waitingFrom = 0
	}
	readSent = f.sentAt[seq%rememberedRequests].Add(-age - age*time.Duration(f.cfg.DriftPerMille)/1000)
	switch {
	case reached:
		f.behindSince = 0
		f.readSent = max(f.readSent, readSent)
	case f.behindSince == 0:
		f.behindSince = now
	}
	return readSent, reached
}

// CaughtUp records that the follower has read or received all known records.
func (f *Follower) CaughtUp() { f.behindSince = 0 }

// Follows reports whether the shared reads are recent and complete, so that the daemon
// need not read by itself.
func (f *Follower) Follows(now ident.Instant) bool {
	if f.source == "" || f.readSent == 0 || now.Sub(f.readSent) >= f.cfg.MaxAge {
		return false
	}
	return f.behindSince == 0 || now.Sub(f.behindSince) < f.cfg.CatchUpTime
}
