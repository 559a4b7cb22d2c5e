package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// Load pattern: 100 callers are refused at the same instant. They used to return together
// after the delay of the table, and were refused again.
func TestRefusedCallersReturnSpreadOverTheExpectedWait(t *testing.T) {
	const callers, wait = 100, 800 * time.Millisecond
	perTenth := make(map[time.Duration]int)
	for i := range callers {
		d := retry.ReturnDelay(wait, time.Second, float64(i)/callers)
		assert.Assert(t, d >= wait, "earlier than the wait that is known")
		perTenth[(d-wait)/(wait/10)]++
	}
	for part, n := range perTenth {
		assert.Assert(t, part < 10 && n <= callers/10+1, "%v: %d", part, n)
	}
	for _, left := range []time.Duration{250, 1200, 4000} {
		for _, draw := range []float64{0, 0.999} {
			d := retry.ReturnDelay(0, left*time.Millisecond, draw)
			assert.Assert(t, d >= left*time.Millisecond/8 && d <= max(left*time.Millisecond/3, 100*time.Millisecond), "%v of %v", d, left)
		}
	}
}

// Callers refused for the calls of their requests returned together after the same delay.
func TestRefusalsForCallsAreSpread(t *testing.T) {
	assert.Assert(t, retry.IsLoadRefusal(errkind.CallsWithoutRoom))
	assert.Assert(t, !retry.IsLoadRefusal(errkind.Draining))
}
