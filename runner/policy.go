package runner

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// Policy is the service that decides which workers may run a step.
type Policy interface {
	// Permits returns tickets for those of the workers that may run the step.
	// The service handles one call of a host at a time.
	Permits(ctx context.Context, step workload.StepID, workers []string) (Permits, error)
}

// Permits is the policy service's answer.
type Permits struct {
	// Tickets holds, by worker ID, the permit that a start there must include.
	Tickets map[string]string
	// Valid is how long the tickets are valid after the answer.
	Valid time.Duration
}
