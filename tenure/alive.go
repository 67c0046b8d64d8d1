package tenure

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/ownership"
)

// aliveTimeout bounds the wait for the control goroutine.
const aliveTimeout = time.Second

// Alive reports whether a process of an entry host may still run. It says no
// only of one that was replaced or whose session has lapsed by this host's
// clock, and yes while it does not know.
func (k *Driver) Alive(host, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	alive, err := ask(ctx, k, func(now time.Time, m *ownership.Machine) (bool, []ownership.Action) {
		return m.Alive(now, host, incarnation)
	})
	return alive || err != nil
}
