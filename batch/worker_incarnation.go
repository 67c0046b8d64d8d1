package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// recordIncarnation records the incarnation of the worker that replied. A new
// incarnation must be reconciled, because it has no state of earlier ones. A
// stale exchange is repeated immediately, and the first one is followed by
// another immediately, since it has renewed no lease.
func (w *worker) recordIncarnation(now time.Time, reply infra.ExchangeReply) {
	first := w.incarnation == ""
	if !first && w.incarnation != reply.Incarnation {
		w.reconciled, w.lastSeq = false, 0
	}
	w.incarnation, w.clockMS, w.clockReadAt = reply.Incarnation, reply.ClockMS, now
	w.exchangeNow = w.exchangeNow || reply.Stale || first
}

// validUntilMS returns the time of the worker's clock until which an exchange
// sent at now may take effect. An exchange that arrives after its sender's
// timeout must not start a run, because the run may already count as ended.
func (w *worker) validUntilMS(now time.Time, clockRate float64) int64 {
	age := time.Duration(float64(now.Sub(w.clockReadAt)) * (1 + clockRate))
	return w.clockMS + (age + exchangeTimeout).Milliseconds() + 1
}
