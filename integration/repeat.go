package integration

import (
	"context"

	"github.com/fireflygate/fireflygate/load"
)

// Repeat sends a booking's request once more, to any host, under the same key
// and with the same body.
func (tr *Traffic) Resend(x load.Exchange, to *Host) load.Exchange {
	x.Retried = true
	x.ID += "-repeat-" + to.Name
	x = load.Send(context.Background(), tr.site.client, tr.site.traffic(tr.options), x, to.CallersURL)
	tr.observe(x)
	return x
}
