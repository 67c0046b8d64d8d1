package booking

import "github.com/fireflygate/fireflygate/outcome"

// flight is a claim of this host from its first attempt until its outcome is
// durable.
type flight struct {
	digest []byte
	id     string
	// version is the version of the claim's row, once claimed.
	version uint64
	// done is closed when answer and refusal are set.
	done    chan struct{}
	answer  Response
	refusal outcome.Refusal
}

// settle sets what all who wait for the claim are told.
func (f *flight) settle(a Response, r outcome.Refusal) {
	f.answer = a
	f.refusal = r
	close(f.done)
}
