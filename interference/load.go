package interference

// Share is how much of a host's processors the runs of one class use.
type Share struct {
	Class string
	// CPUShare is from 0 to 1.
	CPUShare float64
}

// Load is what runs on a host beside a latency-critical class, at one time.
type Load struct {
	// OwnUtilization is how busy the class's own runs are, as the share used of what
	// they reserve. It keeps their own load from being blamed on others.
	OwnUtilization float64
	// Batch is the neighbours, one entry to a class.
	Batch []Share
}
