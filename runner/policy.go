package runner

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// Policy is the service that decides which workers may run a step.
type Policy interface {
	// Permits asks for a step and some workers; those left out of the answer
	// may not run it. It answers one call of a host after another.
	Permits(ctx context.Context, step workload.StepID, workers []string) (Permits, error)
}

// Permits is the policy service's answer.
type Permits struct {
	// Tickets holds, by worker, what a start there must carry.
	Tickets map[string]string
	// Valid is how long they hold, from the answer.
	Valid time.Duration
}
