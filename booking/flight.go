package booking

import "github.com/fireflygate/fireflygate/outcome"

// flight is a claim of this host, from its first attempt until its outcome is
// durable.
type flight struct {
	digest []byte
	id     string
	// version is the version of the claim's row; 0 until it is committed.
	version uint64
	// done is closed once response and refusal are set.
	done     chan struct{}
	response Response
	refusal  outcome.Refusal
}

// settle sets the outcome and wakes all waiting callers.
func (f *flight) settle(response Response, refusal outcome.Refusal) {
	f.response = response
	f.refusal = refusal
	close(f.done)
}
