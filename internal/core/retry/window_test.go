package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// TestWindowBudgetHoldsInEveryWindow checks that, in every sliding window, the
// retries do not exceed the ratio of the requests in that window and the one before
// it, plus the allowance.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, allowance = 10 * time.Second, 0.2, 3.0
	rapid.Check(t, func(t *rapid.T) {
		b := NewWindowBudget(window, ratio)
		var requests, retries []ident.Instant
		now := ident.Instant(time.Hour)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.TryRetry(now, allowance) {
				retries = append(retries, now)
			}
		}
		within := func(ts []ident.Instant, from, to ident.Instant) (n int) {
			for _, x := range ts {
				if x >= from && x <= to {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			got := within(retries, end.Add(-window), end)
			allowed := ratio*float64(within(requests, end.Add(-2*window), end)) + allowance
			assert.Assert(t, float64(got) <= allowed, "%d repeats, %v allowed", got, allowed)
		}
	})
}
