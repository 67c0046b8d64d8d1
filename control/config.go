package control

import "github.com/fireflygate/fireflygate/workload"

// Config is the part of the configuration that scheduling depends on.
type Config struct {
	// Version rises with each change.
	Version uint64
	Queues  []workload.Queue
}
