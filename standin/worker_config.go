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
	// Lag is the delay of usage and latency reports.
	Lag time.Duration
	// Behaviour defines how job classes actually behave.
	Behaviour Behaviour
	// Recorder receives its records; nil discards them.
	Recorder *check.Recorder
}
