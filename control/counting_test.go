package control_test

import (
	"context"
	"sync/atomic"

	"github.com/fireflygate/fireflygate/runner"
)

// testZone is the availability zone of all hosts and workers in the tests.
const testZone = "zone"

// countingClient counts the starts and polls that a host sends to workers.
type countingClient struct {
	runner.Client
	starts, polls atomic.Int64
}

// Start implements runner.Client.
func (c *countingClient) Start(ctx context.Context, w runner.Worker, o runner.Start) runner.Answer {
	c.starts.Add(1)
	return c.Client.Start(ctx, w, o)
}

// Renew implements runner.Client.
func (c *countingClient) Renew(ctx context.Context, w runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	c.polls.Add(1)
	return c.Client.Renew(ctx, w, o)
}
