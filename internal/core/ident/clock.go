package ident

import "time"

// MonotonicClock is the Clock of a process, based on the monotonic clock of package
// time. It is safe for concurrent use.
type MonotonicClock struct{ origin time.Time }

// NewMonotonicClock returns a clock whose origin is one hour before the call,
// so that no reading is zero.
func NewMonotonicClock() *MonotonicClock {
	return &MonotonicClock{origin: time.Now().Add(-time.Hour)}
}

// Now returns the time since the origin.
func (c *MonotonicClock) Now() Instant { return Instant(time.Since(c.origin)) }

// Instant converts a time of this process to an instant of this clock.
func (c *MonotonicClock) Instant(t time.Time) Instant { return Instant(t.Sub(c.origin)) }

// Time converts an instant of this clock to a time of this process.
func (c *MonotonicClock) Time(i Instant) time.Time { return c.origin.Add(time.Duration(i)) }
