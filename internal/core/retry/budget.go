package retry

// Budget is a token bucket that limits retries to a fraction of the requests, so
// that retries cannot amplify an overload. It is not safe for concurrent use, and
// its zero value is not usable.
type Budget struct {
	tokensPerRequest float64 // tokens that each request adds
	maxTokens        float64 // upper limit of tokens, and its initial value
	tokens           float64
}

// NewBudget returns a full budget that allows, in the long run, ratio retries per
// request, and at most burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokensPerRequest: ratio, maxTokens: burst, tokens: burst}
}

// RecordRequest adds the tokens for the first attempt of a request.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.tokensPerRequest, b.maxTokens) }

// TryRetry takes one token for a retry and reports whether there was one.
func (b *Budget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
