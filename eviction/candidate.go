package eviction

// Candidate is a batch task that runs alongside a latency-critical class.
type Candidate struct {
	Job string
	// CPULimit is the current limit, in percent.
	CPULimit int
	// Effect is the estimated addition to the logarithm of the latency when
	// the task isn't throttled; Deviation is its standard deviation.
	Effect    float64
	Deviation float64
	// LostMS is the work that an eviction loses, in milliseconds.
	LostMS int64
	// Protected tasks may be throttled but not evicted.
	Protected bool
}

// reduction returns by how much a CPU limit of percent is estimated to reduce
// the logarithm of the latency.
func (c Candidate) reduction(percent int) float64 {
	return c.Effect * float64(c.CPULimit-percent) / 100
}
