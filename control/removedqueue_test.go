package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// permitAll is a policy service that permits everything, but fails for later steps until they
// are allowed.
type permitAll struct{ allowLater atomic.Bool }

// Permits implements runner.Policy.
func (a *permitAll) Permits(_ context.Context, step workload.StepID, workers []string) (runner.Permits, error) {
	if step.Step > 0 && !a.allowLater.Load() {
		return runner.Permits{}, errors.New("busy")
	}
	p := runner.Permits{Tickets: map[string]string{}, Valid: time.Hour}
	for _, id := range workers {
		p.Tickets[id] = "ticket of " + id
	}
	return p, nil
}

// TestJobOfRemovedQueueGetsPermits guards against jobs that stand still: a configuration
// removes the only queue that needs permits while an accepted job of it has a step to come.
func TestJobOfRemovedQueueGetsPermits(t *testing.T) {
	c := newCluster(t, 0, 2)
	policy := &permitAll{}
	c.policy = policy
	h := c.start("h0", c.table)
	permits := testQueue
	permits.Name, permits.NeedsPermit = "permits", true
	h.node.SetConfig(control.Config{Version: 2, Queues: []workload.Queue{testQueue, permits}})
	j := job("job", 1)
	j.Queue = permits.Name
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = append(j.Steps, second)
	c.submitTo(h, permits, j)
	first := <-c.fleet.started
	h.node.SetConfig(control.Config{Version: 3, Queues: []workload.Queue{testQueue}})
	c.submit(h, job("other", 1)) // the owner applies the configuration before
	other := <-c.fleet.started
	policy.allowLater.Store(true)
	c.fleet.finish(other.Task)
	c.fleet.finish(first.Task)
	select {
	case o := <-c.fleet.started:
		if o.Permit == "" {
			t.Error("started without a permit")
		}
		c.fleet.finish(o.Task)
	case <-time.After(requestTimeout):
		t.Fatal("the second step wasn't started")
	}
	c.awaitState(h, "job", workload.Complete)
}
