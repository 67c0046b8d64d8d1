package eviction

// Suspect is a batch task beside a latency-critical class.
type Candidate struct {
	Job string
	// Percent is the share of its processors that it has now.
	CPULimit int
	// Blame is what it is estimated to add to the logarithm of the latency
	// at full speed; Deviation is the uncertainty of that.
	Effect    float64
	Deviation float64
	// LostMS is the work that is lost if it is evicted, in milliseconds.
	LostMS int64
	// Protected tasks may be throttled but not evicted.
	Protected bool
}

// removed is what a throttle to percent is estimated to take off.
func (s Candidate) removed(percent int) float64 {
	return s.Effect * float64(s.CPULimit-percent) / 100
}
