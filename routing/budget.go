package routing

// RetryBudget is a token bucket that limits retries to a share of the recent
// requests.
type RetryBudget struct {
	ratio  float64
	tokens float64
	limit  float64
}

// budgetBurst is the maximum number of retries that can accumulate.
const budgetBurst = 20

// NewRetryBudget returns a budget that allows ratio retries per request.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: budgetBurst}
}

// SetRatio changes the share of requests that may be retried.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// AddRequest counts the first attempt of a request.
func (b *RetryBudget) AddRequest() {
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// TakeRetry uses one retry and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that may be made now.
func (b *RetryBudget) Available() float64 { return b.tokens }
