package settings

// Class is a class of latency-critical tasks on workers.
type Class struct {
	// Latency is the objective for the tail latency of the class's tasks on
	// hosts that also run batch jobs, as reported by the workers. While the
	// reported value exceeds it, batch jobs on the host are throttled and
	// then evicted. Placement avoids hosts where batch jobs are expected to
	// raise the tail latency above about two thirds of the objective. If it
	// is above that bound even without batch jobs, these run only on hosts
	// without the class.
	Latency Duration `toml:"latency"`
}
