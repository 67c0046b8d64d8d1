package integration

import (
	"context"

	"github.com/fireflygate/fireflygate/load"
)

// Resend sends the request of a booking again, with the same key and body, to the
// given host. It records the exchange and adds it to Ended.
func (tr *Traffic) Resend(x load.Exchange, to *Host) load.Exchange {
	x.Retried = true
	x.ID += "-repeat-" + to.Name
	x = load.Send(context.Background(), tr.site.client, tr.site.loadConfig(tr.options), x, to.CallersURL)
	tr.observe(x)
	return x
}
