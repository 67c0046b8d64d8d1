package settings

// Class is a class of latency-critical tasks on workers.
type Class struct {
	// Latency is the tail latency that its tasks must keep beside batch work.
	// Batch is kept off hosts where the tail is expected above some two
	// thirds of it, so one close to the tail of an idle host leaves batch
	// only the hosts without the class.
	Latency Duration `toml:"latency"`
}
