package retry

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Limits of a return delay without a stated wait.
const (
	leastReturn  = 50 * time.Millisecond
	latestReturn = time.Second
)

// IsLoadRefusal reports whether a request of kind k was refused for lack of room or time.
func IsLoadRefusal(k errkind.Kind) bool {
	switch k {
	case errkind.Overloaded, errkind.RateLimited, errkind.BackendRefused, errkind.BackendUnavailable, errkind.DeadlineBeforeStart, errkind.CallsWithoutRoom:
		return true
	}
	return false
}

// ReturnDelay returns the delay after which a caller may send a refused request again. stated
// is the wait that the refusing daemon expects, zero if it does not know; draw, in [0, 1),
// spreads callers that were refused together over as long again, so that they do not return at
// once. Without a stated wait, a return is of use to the caller within a third of the time left.
func ReturnDelay(stated, left time.Duration, draw float64) time.Duration {
	earliest := stated
	if stated <= 0 {
		earliest = min(max(left/6, leastReturn), latestReturn/2)
	}
	return earliest + time.Duration(draw*float64(earliest))
}
