// Package bootclock reads the clock that also counts the time in which the
// machine was suspended. Leases are measured with it: a process that was frozen
// must find that its lease is over.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Clock is the clock of the running machine. It implements ident.Clock.
type Clock struct{}

// origin keeps readings of a machine that has just started above zero.
const origin = time.Hour

// Now returns the time since the machine started, and an hour.
func (Clock) Now() ident.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error()) // Linux has had this clock since 2.6.39
	}
	return ident.Instant(origin + time.Duration(ts.Nano()))
}
