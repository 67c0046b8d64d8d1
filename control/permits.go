package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
)

// permitTimeout bounds one question to the policy service, which takes some
// milliseconds for each worker named and waits for its turn.
const permitTimeout = 3 * time.Second

// askPermits asks the policy service its next question, one at a time.
func (o *Owner) askPermits(now time.Time) {
	if o.asking || o.opts.Policy == nil || !o.needsPermits {
		return
	}
	q, ok := o.state.NextPermitRequest(now)
	if !ok {
		return
	}
	o.asking = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, permitTimeout)
		p, err := o.opts.Policy.Permits(ctx, q.Step, q.Workers)
		cancel()
		o.post(func() {
			o.asking = false
			event.PermitsAnswered.Log(o.opts.Log, slog.Any("step", q.Step), slog.Int("asked", len(q.Workers)),
				slog.Int("permitted", len(p.Tickets)), slog.Any("err", err))
			o.state.HandlePermits(time.Now(), q, p, err)
		})
	}()
}

// notePermits keeps whether any queue needs permits.
func (o *Owner) notePermits(c Config) {
	o.needsPermits = false
	for i := range c.Queues {
		o.needsPermits = o.needsPermits || c.Queues[i].NeedsPermit
	}
}
