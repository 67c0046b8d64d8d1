package control_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/logsink"
	"github.com/fireflygate/fireflygate/workload"
)

// blockedOutput is a log output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

// Write implements io.Writer.
func (s blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedLogOutput checks that hosts with a blocked log output serve jobs
// and replace a failed owner.
func TestBlockedLogOutput(t *testing.T) {
	out := blockedOutput{release: make(chan struct{})}
	sink := logsink.New(out, logsink.Options{IsRoutine: event.IsRoutine})
	t.Cleanup(func() {
		close(out.release)
		sink.Close(context.Background())
	})
	c := newLoggingCluster(t, 2, 2, slog.New(sink.Handler()))
	old := c.leader(c.hosts...)
	c.submit(old, job("first", 2))
	for range 2 {
		c.fleet.finish((<-c.fleet.started).Task)
	}
	c.awaitState(old, "first", workload.Complete)
	old.kill()
	next := c.leader(without(c.hosts, old)...)
	c.submit(next, job("second", 2))
	for range 2 {
		c.fleet.finish((<-c.fleet.started).Task)
	}
	c.awaitState(next, "second", workload.Complete)
	if sink.Stats().Written.Load() != 0 {
		t.Error("a line was written to a blocked output")
	}
}
