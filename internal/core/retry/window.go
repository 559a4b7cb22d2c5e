package retry

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// windowParts divides the window of a WindowBudget; the sum over the current and
// the windowParts before it covers every window of the length.
const windowParts = 10

// WindowBudget bounds the repeats of one service in every sliding window: a part
// of the requests in it and this daemon's share of a fixed allowance. It is the
// share of a budget that many daemons have in common, kept without a message
// between them. The zero value is not usable.
type WindowBudget struct {
	part    time.Duration
	ratio   float64
	parts   [windowParts + 1]windowPart
	current int64 // number of the newest part since the clock's origin
}

type windowPart struct{ requests, repeats float64 }

// NewWindowBudget returns a budget that allows ratio repeats a request in each
// window.
func NewWindowBudget(window time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{part: window / windowParts, ratio: ratio}
}

// advance clears the parts that have passed out of the window.
func (b *WindowBudget) advance(now ident.Instant) *windowPart {
	n := int64(now) / int64(b.part)
	for i := b.current + 1; i <= n && i <= b.current+int64(len(b.parts)); i++ {
		b.parts[i%int64(len(b.parts))] = windowPart{}
	}
	if n-b.current > int64(len(b.parts)) {
		b.parts = [windowParts + 1]windowPart{}
	}
	b.current = max(b.current, n)
	return &b.parts[b.current%int64(len(b.parts))]
}

// RecordRequest counts a first attempt.
func (b *WindowBudget) RecordRequest(now ident.Instant) { b.advance(now).requests++ }

// TryRetry counts a repeat if the window has room for it. The allowance is this
// daemon's share of what is allowed besides the ratio.
func (b *WindowBudget) TryRetry(now ident.Instant, allowance float64) bool {
	p := b.advance(now)
	var sum windowPart
	for _, q := range b.parts {
		sum.requests += q.requests
		sum.repeats += q.repeats
	}
	if sum.repeats+1 > b.ratio*sum.requests+allowance {
		return false
	}
	p.repeats++
	return true
}
