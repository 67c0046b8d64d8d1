package control

import (
	"context"

	"github.com/fireflygate/fireflygate/runner"
)

// Members is the lagging list of workers.
type Members interface {
	// List returns all workers that are live or leaving.
	List(ctx context.Context) ([]runner.Worker, error)
}
