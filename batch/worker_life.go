package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// hear takes in which life of the worker's agent answered. A new one is
// reconciled again, since it knows nothing of what earlier ones were told. A
// stale exchange is made again at once.
func (w *worker) hear(now time.Time, reply infra.ExchangeReply) {
	if w.incarnation != "" && w.incarnation != reply.Incarnation {
		w.reconciled, w.since = false, 0
	}
	w.incarnation, w.clockMS, w.heard = reply.Incarnation, reply.ClockMS, now
	w.soon = w.soon || reply.Stale
}

// validUntilMS is until when, by the worker's clock, an exchange sent at now
// may take effect: an exchange that was longer under way than its sender waits
// for the answer must not start anything, since the run may be taken as over.
func (w *worker) validUntilMS(now time.Time, clockRate float64) int64 {
	age := time.Duration(float64(now.Sub(w.heard)) * (1 + clockRate))
	return w.clockMS + (age + exchangeTimeout).Milliseconds() + 1
}
