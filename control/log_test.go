package control_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/logsink"
	"github.com/fireflygate/fireflygate/workload"
)

// stuckOutput is a log output that nobody drains.
type stuckOutput struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuckOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStuckLogOutput has hosts whose log output never drains serve a job and
// replace a dead owner all the same.
func TestStuckLogOutput(t *testing.T) {
	out := stuckOutput{release: make(chan struct{})}
	sink := logsink.New(out, logsink.Options{Routine: event.IsRoutine})
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
	c.await(old, "first", workload.Complete)
	old.kill()
	next := c.leader(without(c.hosts, old)...)
	c.submit(next, job("second", 2))
	for range 2 {
		c.fleet.finish((<-c.fleet.started).Task)
	}
	c.await(next, "second", workload.Complete)
	if sink.Stats().Written.Load() != 0 {
		t.Error("a line was written to an output that is stuck")
	}
}
