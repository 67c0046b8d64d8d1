package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
)

// permitTimeout bounds one request to the policy service, whose duration grows
// with the number of workers.
const permitTimeout = 3 * time.Second

// requestPermits sends the next permit request, one at a time.
func (o *Owner) requestPermits(now time.Time) {
	if o.requestingPermits || o.opts.Policy == nil {
		return
	}
	q, ok := o.state.NextPermitRequest(now)
	if !ok {
		return
	}
	o.requestingPermits = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, permitTimeout)
		p, err := o.opts.Policy.Permits(ctx, q.Step, q.Workers)
		cancel()
		o.post(func() {
			o.requestingPermits = false
			event.PermitsAnswered.Log(o.opts.Log, slog.Any("step", q.Step), slog.Int("asked", len(q.Workers)),
				slog.Int("permitted", len(p.Tickets)), slog.Any("err", err))
			o.state.HandlePermits(time.Now(), q, p, err)
		})
	}()
}
