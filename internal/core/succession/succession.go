package succession

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Limits of how far the sequence of a heartbeat may be ahead of the last one. A greater one is
// not of this instance, and would make all its later heartbeats out of order.
const (
	sequenceSlack       = 100
	maxHeartbeatsPerSec = 20
)

// maxContenders bounds the instances other than the one in use that a Tracker remembers.
const maxContenders = 4

// Identity is what all heartbeats of an instance have in common.
type Identity struct {
	Instance roster.Instance
	Service  ident.Service
	Addr     string // host:port on which it serves requests
}

// Heartbeat is what a heartbeat states of the identity of its sender.
type Heartbeat struct {
	Identity
	Sequence   int64
	Configured bool // its service is configured
}

// Outcome says what becomes of a heartbeat.
type Outcome uint8

// The outcomes of a heartbeat. One that is neither Continued nor Adopted has no effect.
const (
	Continued       Outcome = iota // from the instance in use
	Adopted                        // from another instance, which is in use from now on
	Unconfigured                   // from another instance, of a service that is not configured
	EarlierInstance                // from another instance, service or address, started no later than the one in use
	OutOfOrder                     // sent before an earlier one of the instance in use
	SequenceAhead                  // with a sequence that the instance cannot have reached
)

// Accepted reports whether the heartbeat counts.
func (o Outcome) Accepted() bool { return o == Continued || o == Adopted }

// String returns the text for the log.
func (o Outcome) String() string {
	return [...]string{
		"of the instance in use", "of a new instance", "of a service that is not configured",
		"of an earlier instance", "out of order", "sequence too far ahead",
	}[o]
}

// Config holds the times of a server's heartbeats.
type Config struct {
	Interval time.Duration // usual time between two heartbeats
	Silence  time.Duration // without a heartbeat, after which an instance counts as lost
}

// contender is an identity other than the one in use, or the same with other sequences.
type contender struct {
	Identity
	sequence int64         // of its last heartbeat
	first    ident.Instant // when its first heartbeat since the last one of the instance in use arrived
	last     ident.Instant // when its last heartbeat arrived
}

// Tracker knows the instance in use. It is not safe for concurrent use.
type Tracker struct {
	cfg        Config
	current    Identity // zero before the first heartbeat
	sequence   int64    // of its last heartbeat
	last       ident.Instant
	lost       bool // silent or found lost since its last heartbeat
	adoptions  uint64
	contenders []contender // that sent heartbeats since the last one of the instance in use
}

// New returns a tracker that knows no instance.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// Current returns the identity of the instance in use, and whether there is one.
func (t *Tracker) Current() (i Identity, known bool) { return t.current, t.adoptions > 0 }

// Adoptions returns how many instances have come into use. It numbers the present one.
func (t *Tracker) Adoptions() uint64 { return t.adoptions }

// Lost reports whether the instance in use is lost.
func (t *Tracker) Lost() bool { return t.lost }

// MarkLost records that the instance in use was found lost, until its next heartbeat. It reports
// whether that is new.
func (t *Tracker) MarkLost() bool {
	if t.lost || t.adoptions == 0 {
		return false
	}
	t.lost = true
	return true
}

// CheckSilence marks the instance in use as lost if it is silent, and reports whether that is
// new.
func (t *Tracker) CheckSilence(now ident.Instant) bool {
	return t.isSilent(now) && t.MarkLost()
}

func (t *Tracker) isSilent(now ident.Instant) bool { return now.Sub(t.last) > t.cfg.Silence }

// HandleHeartbeat decides on a heartbeat that has arrived.
func (t *Tracker) HandleHeartbeat(h Heartbeat, now ident.Instant) Outcome {
	o := t.classify(h, now)
	switch {
	case o == Unconfigured:
		return o
	case o == Continued:
	case o == Adopted || t.succeeds(h, now):
		o = Adopted
		t.current = h.Identity
		t.adoptions++
	default:
		return o
	}
	t.sequence, t.last, t.lost, t.contenders = h.Sequence, now, false, nil
	return o
}

// classify returns the outcome of a heartbeat, regardless of the others of its sender.
func (t *Tracker) classify(h Heartbeat, now ident.Instant) Outcome {
	switch {
	case t.adoptions > 0 && h.Identity == t.current:
		switch {
		case h.Sequence <= t.sequence:
			return OutOfOrder
		case !follows(h.Sequence, t.sequence, now.Sub(t.last)):
			return SequenceAhead
		}
		return Continued
	case !h.Configured:
		return Unconfigured
	case t.adoptions == 0 || h.Instance.StartedMS > t.current.Instance.StartedMS:
		return Adopted
	}
	return EarlierInstance
}

// follows reports whether an instance may have reached a sequence in a time after another one.
func follows(sequence, before int64, passed time.Duration) bool {
	return sequence > before && float64(sequence-before) <= sequenceSlack+maxHeartbeatsPerSec*passed.Seconds()
}

// succeeds records a heartbeat of a contender, and reports whether it proves that the contender
// lives while the instance in use does not.
func (t *Tracker) succeeds(h Heartbeat, now ident.Instant) bool {
	i := slices.IndexFunc(t.contenders, func(c contender) bool { return c.Identity == h.Identity })
	if i < 0 {
		if len(t.contenders) == maxContenders {
			oldest := slices.MinFunc(t.contenders, func(a, b contender) int { return int(a.last.Sub(b.last)) })
			i = slices.Index(t.contenders, oldest)
		} else {
			i = len(t.contenders)
			t.contenders = append(t.contenders, contender{})
		}
		t.contenders[i] = contender{h.Identity, h.Sequence, now, now}
		return false
	}
	c := &t.contenders[i]
	if !follows(h.Sequence, c.sequence, now.Sub(c.last)) {
		if now.Sub(c.last) > t.cfg.Silence { // the remembered sequence is not that of a live sender
			*c = contender{h.Identity, h.Sequence, now, now}
		}
		return false
	}
	c.sequence, c.last = h.Sequence, now
	return (t.lost || t.isSilent(now)) && now.Sub(c.first) >= t.cfg.Interval/2
}
