// Package linkroom decides when the long bodies that other daemons send to this host may
// travel. A body waits at its sender until this host grants it credit, piece by piece, so
// that what is on its way to a slow link never fills more of it than a short message can
// wait for, however many senders there are. Bodies pass in the order of their priority and
// of the time they are due; one that cannot arrive in time is refused before it is sent.
// It does no I/O; instants are passed in.
package linkroom

import "time"

const (
	// slowTime is the time on the link from which a body is worth pacing: a shorter one
	// delays what comes behind it by less than a round trip of credit costs.
	slowTime = 5 * time.Millisecond
	// MinUnpaced bounds from below the length in bytes from which a body is paced, so that
	// the head of a request does not cost more than its body.
	MinUnpaced = 4 << 10
	// largestUnpaced is the length in bytes up to which a body travels with its head on a
	// link that needs no pacing.
	largestUnpaced = 64 << 10

	// pieceTime is the time on the link of what is granted at a time: each piece costs the
	// processors of both ends several system calls, and a few of them fill InFlight.
	pieceTime = 10 * time.Millisecond

	bitsPerMbps = 1e6
	bitsPerByte = 8
)

// BytesPerSecond returns the rate of a link of so many Mbit/s.
func BytesPerSecond(mbps float64) float64 { return mbps * bitsPerMbps / bitsPerByte }

// UnpacedBytes returns the length of a body up to which it is not paced on a link, or zero if
// the link is unknown or so fast that no body is.
func UnpacedBytes(mbps float64) int {
	n := int(BytesPerSecond(mbps) * slowTime.Seconds())
	if mbps <= 0 || n >= largestUnpaced {
		return 0
	}
	return max(n, MinUnpaced)
}

// Config describes the link of a host.
type Config struct {
	Rate     float64       // bytes per second
	Share    float64       // of the rate that bodies and all other traffic take together
	MinShare float64       // of the rate that bodies may take whatever else is received
	InFlight time.Duration // of the link that granted bytes may fill before they have arrived
	Piece    int           // bytes granted at a time
	// StaleAfter is the time after which a sender that used none of its credit no longer
	// keeps others from theirs.
	StaleAfter time.Duration
}

// DefaultConfig returns the configuration for a link of so many Mbit/s. A short message
// finds at most InFlight of bodies before it, which leaves most of a target of 100 ms.
func DefaultConfig(mbps float64) Config {
	rate := BytesPerSecond(mbps)
	return Config{
		Rate: rate, Share: 0.9, MinShare: 0.2, InFlight: 40 * time.Millisecond,
		Piece: max(int(rate*pieceTime.Seconds()), MinUnpaced), StaleAfter: 100 * time.Millisecond,
	}
}

// inFlightBytes returns the bytes that may be granted and not have arrived.
func (c Config) inFlightBytes() float64 { return max(c.Rate*c.InFlight.Seconds(), float64(2*c.Piece)) }

// bodyBytes returns the most credit in bytes that one sender holds, so that the link is not
// idle while a slow one makes use of its credit.
func (c Config) bodyBytes() int { return max(int(c.inFlightBytes()/2), c.Piece) }
