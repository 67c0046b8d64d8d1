package ownerdriver

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// aliveTimeout bounds the wait for the control goroutine.
const aliveTimeout = time.Second

// Alive reports whether a process of an entry host may still run that wrote a row
// of the given version. It returns false only if the process was replaced or its session has expired by this
// host's clock, and true if that is not known.
func (d *Driver) Alive(host, incarnation string, version uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	alive, err := query(ctx, d, func(now time.Time, m *ownership.Machine) (bool, []ownership.Action) {
		return m.Alive(now, host, incarnation, version)
	})
	return alive || err != nil
}
