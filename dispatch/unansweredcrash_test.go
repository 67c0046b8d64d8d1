package dispatch_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// TestUnansweredCrashOfReturnedWorkerCounts guards against a task that crashes workers without
// end, if each crashes before it answers the start and starts again under its ID.
func TestUnansweredCrashOfReturnedWorkerCounts(t *testing.T) {
	life := newLifeRig(t)
	life.submit(queueShort, "job", step(1, 2))
	for i := range 200 {
		life.poll()
		for _, o := range life.state.Plan(life.now).Starts {
			life.state.HandleStartAnswer(life.now, o, runner.Answer{Status: runner.Unknown})
			next := newTestLife(life.rig, runner.Incarnation(2+i))
			next.advance(testTick)
			life = next
		}
	}
	life.wantState("job", workload.Failed)
}
