package httpclient

import (
	"context"
	"net/http"

	"github.com/fireflygate/fireflygate/infra"
)

// Workers is a client of the agents on worker hosts.
type Workers struct {
	client client
}

var _ infra.Workers = (*Workers)(nil)

// NewWorkers returns a client that sends its requests with c.
func NewWorkers(c *http.Client) *Workers {
	return &Workers{client: newClient(c)}
}

// Exchange sends one exchange to the worker at address, an IP:port.
func (w *Workers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	var reply infra.ExchangeReply
	a := w.client.call(ctx, "http://"+address+"/exchange", x, &reply)
	return reply, a.err
}
