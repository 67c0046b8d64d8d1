package interference

// Share is the share of a host's processors that the runs of a class use.
type Share struct {
	Class string
	// CPUShare is between 0 and 1.
	CPUShare float64
}

// Load describes the runs on a host alongside a latency-critical class.
type Load struct {
	// OwnUtilization is the CPU usage of the class's own runs as a share of
	// their reservation. It separates the effect of their own load from
	// interference.
	OwnUtilization float64
	// Batch holds the shares of the batch classes, one entry per class.
	Batch []Share
}
