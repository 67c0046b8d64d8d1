package standin

import (
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	// Name is its name in the membership list.
	Name     string
	Zone     string
	Rack     string
	Capacity infra.Resources
	// Lag is how late usage and latency are reported.
	Lag time.Duration
	// Behaviour is the hidden truth about classes.
	Behaviour Behaviour
	// Recorder takes its records; nil drops them.
	Recorder *check.Recorder
}
