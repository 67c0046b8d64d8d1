package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// endAtSuccessor ends the run, and lets the successor hear of it and store it.
func (r *replacedOwner) endAtSuccessor() {
	r.t.Helper()
	for id := range r.worker.runs {
		r.worker.endRun(id, runner.EndDone)
	}
	r.poll(r.state, r.worker)
	r.flush()
	r.wantState("job", workload.Complete)
}

// restarted answers an owner's polls of the first worker by another incarnation.
func (r *replacedOwner) restarted(owner *dispatch.State) {
	id := r.worker.info.ID
	if _, renewal, ok := owner.Renewal(r.now, id, testLease); ok {
		owner.HandleReport(r.now, id, renewal, runner.Answer{Status: runner.Restarted}, runner.Report{})
	}
}

// TestReplacedOwnerStartsEndedTask guards against a replaced owner that starts a task
// again, or a copy of it, because its worker was lost or doesn't answer, though the
// successor has stored the task's end.
func TestReplacedOwnerStartsEndedTask(t *testing.T) {
	inherited := func(t *testing.T) *replacedOwner {
		r := newReplacedOwner(t)
		r.takeOver(worker(0), worker(1))
		r.members(2)
		r.cutOff, r.lastCommit = r.state, r.now
		r.advance(time.Second)
		r.replace()
		r.endAtSuccessor()
		return r
	}
	t.Run("its worker has restarted", func(t *testing.T) {
		r := newReplacedOwner(t)
		for ; r.now.Sub(r.lastCommit) < provenAge; r.advance(testTick) {
			r.poll(r.cutOff, r.worker)
		}
		r.replace()
		r.endAtSuccessor()
		r.wantNoStart(r.restarted)
	})
	t.Run("its inherited worker has restarted", func(t *testing.T) {
		r := inherited(t)
		r.wantNoStart(r.restarted)
	})
	t.Run("its inherited worker is off the list", func(t *testing.T) {
		r := inherited(t)
		r.wantNoStart(func(owner *dispatch.State) {
			owner.SetMembers(r.now, []runner.Worker{workerInfo(otherWorker(r.worker.info.ID))})
		})
	})
	t.Run("its worker doesn't answer and it is speculative", func(t *testing.T) {
		r := newReplacedOwner(t, func(s *workload.Step) { s.Speculative, s.Estimate = true, 4*time.Second })
		r.poll(r.cutOff, r.worker)
		r.advance(time.Second)
		r.replace()
		r.endAtSuccessor()
		r.wantNoStart(func(owner *dispatch.State) { r.pollUnanswered(owner, r.worker.info.ID) })
	})
}
