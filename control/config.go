package control

import "github.com/fireflygate/fireflygate/workload"

// Config is the configuration of scheduling.
type Config struct {
	// Version increases with each change.
	Version uint64
	Queues  []workload.Queue
}
