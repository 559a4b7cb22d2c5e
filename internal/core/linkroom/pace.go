package linkroom

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// sendBurst is how much of the link the bodies that a host sends may fill at once.
const sendBurst = 20 * time.Millisecond

// Pace spaces the pieces of the bodies that a host sends, so that they never fill more of its
// link than a short message can wait for. It is not safe for concurrent use.
type Pace struct {
	rate float64       // bytes per second
	free ident.Instant // the link has sent by then what was taken before
}

// NewPace returns the pace of a link whose rate is given in bytes per second.
func NewPace(rate float64) *Pace { return &Pace{rate: rate * sendShare} }

// sendShare is the part of the link that the bodies of a host take together; the rest
// is for its short messages.
const sendShare = 0.9

// Take reserves the link for some bytes and returns how long their sender has to wait before
// it sends them.
func (p *Pace) Take(now ident.Instant, bytes int) time.Duration {
	p.free = max(p.free, now)
	wait := p.free.Sub(now) - sendBurst
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return max(wait, 0)
}
