package settings

// Class is one class of latency-critical tasks on workers.
type Class struct {
	// Latency is the tail latency that its tasks must keep beside batch work.
	Latency Duration `toml:"latency"`
}
