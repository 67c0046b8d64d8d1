package control

import (
	"context"

	"github.com/fireflygate/fireflygate/runner"
)

// Members lists the workers of the domain. The list may lag behind changes.
type Members interface {
	// List returns all live and leaving workers.
	List(ctx context.Context) ([]runner.Worker, error)
}
