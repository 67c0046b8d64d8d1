package gate

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// Deps are the outside systems that an entry host reaches.
type Deps struct {
	Table   infra.Table
	Objects infra.Objects
	Members infra.Members
	Workers infra.Workers
	Log     *slog.Logger
	// Now is the clock; its readings must be monotonic.
	Now func() time.Time
	// Build is the program's version, for status.
	Build string
}
