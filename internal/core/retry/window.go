package retry

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// windowParts is the number of parts into which a WindowBudget divides its window.
// The current part and the windowParts before it together cover every sliding
// window that ends now.
const windowParts = 10

// WindowBudget limits the retries of one service in every sliding window to a
// fraction of the requests in the window plus this daemon's share of a fixed
// allowance. It is this daemon's part of a budget that all daemons have in common;
// the daemons exchange no messages for it. It is not safe for concurrent use, and
// its zero value is not usable.
type WindowBudget struct {
	partLength  time.Duration
	ratio       float64
	counts      [windowParts + 1]partCounts
	currentPart int64 // number of the newest part, counted from the clock's origin
}

// partCounts holds the numbers of first attempts and of retries in one part of the
// window.
type partCounts struct{ requests, retries float64 }

// NewWindowBudget returns a budget that allows ratio retries per request in each
// window, besides the allowance.
func NewWindowBudget(window time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{partLength: window / windowParts, ratio: ratio}
}

// advance makes the part of now the current one, clears the parts that have left
// the window and returns the counts of the current part.
func (b *WindowBudget) advance(now ident.Instant) *partCounts {
	n := int64(now) / int64(b.partLength)
	for i := b.currentPart + 1; i <= n && i <= b.currentPart+int64(len(b.counts)); i++ {
		b.counts[i%int64(len(b.counts))] = partCounts{}
	}
	if n-b.currentPart > int64(len(b.counts)) {
		b.counts = [windowParts + 1]partCounts{}
	}
	b.currentPart = max(b.currentPart, n)
	return &b.counts[b.currentPart%int64(len(b.counts))]
}

// RecordRequest counts the first attempt of a request.
func (b *WindowBudget) RecordRequest(now ident.Instant) { b.advance(now).requests++ }

// TryRetry counts a retry if the budget of the window allows it, and reports
// whether it does. The allowance is this daemon's share of the retries that are
// allowed in a window besides the ratio.
func (b *WindowBudget) TryRetry(now ident.Instant, allowance float64) bool {
	p := b.advance(now)
	var sum partCounts
	for _, q := range b.counts {
		sum.requests += q.requests
		sum.retries += q.retries
	}
	if sum.retries+1 > b.ratio*sum.requests+allowance {
		return false
	}
	p.retries++
	return true
}
