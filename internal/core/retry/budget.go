package retry

// Budget is a token bucket that bounds retries to a fraction of the requests,
// so that retries cannot multiply an overload. The zero value is not usable.
type Budget struct {
	ratio  float64 // tokens a request adds
	limit  float64 // tokens
	tokens float64
}

// NewBudget returns a full budget that allows ratio retries a request in the
// long run and burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, limit: burst, tokens: burst}
}

// RecordRequest adds the share of one first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.ratio, b.limit) }

// TryRetry takes one token and reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
