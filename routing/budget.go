package routing

// Budget is a token bucket that limits retries to a share of the recent
// requests.
type Budget struct {
	ratio  float64
	tokens float64
	limit  float64
}

// budgetBurst is how many retries may be saved up.
const budgetBurst = 20

// NewBudget returns a budget that allows ratio retries per request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, limit: budgetBurst}
}

// SetRatio changes the share of requests that may be retried.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Request counts one first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries may be made now.
func (b *Budget) Left() float64 { return b.tokens }
