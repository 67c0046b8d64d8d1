package gate

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Deps are the external dependencies of an entry host.
type Deps struct {
	Table   infra.Table
	Objects infra.Objects
	Members infra.Members
	Workers infra.Workers
	Log     *slog.Logger
	// Now is the clock; its readings must be monotonic.
	Now func() time.Time
	// Build is the program's version, shown by the status command.
	Build string
}
