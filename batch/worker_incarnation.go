package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// life is what an owner knows of one life of a worker: a process at an address. None of
// it says anything of another life.
type life struct {
	// incarnation is the worker's incarnation in the last reply, clockMS its
	// clock in that reply, and clockReadAt when the reply arrived.
	incarnation string
	clockMS     int64
	clockReadAt time.Time
	// lastSeq is the sequence number of the last handled reply.
	lastSeq uint64
	// reconciled is set once the full list of runs was compared with the
	// records.
	reconciled bool
}

// recordIncarnation records the incarnation of the worker that replied. A new
// incarnation must be reconciled, because it has no state of earlier ones. A
// stale exchange is repeated immediately, and the first one is followed by
// another immediately, since it has renewed no lease.
func (w *worker) recordIncarnation(now time.Time, reply infra.ExchangeReply) {
	first := w.incarnation == ""
	if w.incarnation != reply.Incarnation {
		w.life = life{}
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
