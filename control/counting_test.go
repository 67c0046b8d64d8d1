package control_test

import (
	"context"
	"sync/atomic"

	"github.com/fireflygate/fireflygate/runner"
)

// testZone is the availability zone of all hosts and workers in the tests.
const testZone = "zone"

// countingClient counts the starts and polls that a host sends to workers. While cut is
// set, none of them reaches its worker.
type countingClient struct {
	runner.Client
	starts, polls atomic.Int64
	cut           atomic.Bool
}

// Start implements runner.Client.
func (c *countingClient) Start(ctx context.Context, w runner.Worker, o runner.Start) runner.Answer {
	c.starts.Add(1)
	if c.cut.Load() {
		<-ctx.Done()
		return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}
	}
	return c.Client.Start(ctx, w, o)
}

// Renew implements runner.Client.
func (c *countingClient) Renew(ctx context.Context, w runner.Worker, o runner.Renewal) (runner.Answer, runner.Report) {
	c.polls.Add(1)
	if c.cut.Load() {
		<-ctx.Done()
		return runner.Answer{Status: runner.Unknown, Err: ctx.Err()}, runner.Report{}
	}
	return c.Client.Renew(ctx, w, o)
}
