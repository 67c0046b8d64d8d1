package dispatch_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// cutOffFor is how long after its last commit an owner may give orders.
	cutOffFor = 20 * time.Second
	// provenAge is the age from which a run's worker isn't taken for crashed by it, so
	// that its next start doesn't wait for a commit.
	provenAge = 10 * time.Second
	// longTask is the estimate of a task that outlasts its owner's cut from the store.
	longTask = time.Minute
)

// replacedOwner is an owner that is cut from the store and from a worker with a run,
// and its successor, which reaches that worker only.
type replacedOwner struct {
	*rig
	worker     *faultWorker
	cutOff     *dispatch.State
	lastCommit time.Time
}

// newReplacedOwner starts a task and cuts its owner from the store before the run's
// location is stored.
func newReplacedOwner(t *testing.T, change ...func(*workload.Step)) *replacedOwner {
	r := &replacedOwner{rig: newRig(t, 2)}
	change = append([]func(*workload.Step){func(s *workload.Step) { s.Estimate = longTask }}, change...)
	r.submit(queueShort, "job", step(1, 4, change...))
	r.lastCommit = r.now
	first := r.state.Plan(r.now).Starts[0]
	r.worker = newFaultWorker(first.Worker.ID)
	run := &faultRun{number: first.Start.Run, step: &r.jobs[0].Steps[0], startedAt: r.now, duration: longTask}
	status := r.worker.start(r.clock(), first.Start, run)
	r.state.HandleStartAnswer(r.now, first, runner.Answer{Status: status, ClockMS: r.clock()})
	r.cutOff = r.state
	return r
}

// replace makes a successor take over with the stored rows and poll the worker.
func (r *replacedOwner) replace() {
	r.takeOver(worker(0), worker(1))
	r.members(2)
	r.poll(r.state, r.worker)
}

// poll polls a worker for an owner, and passes on the answer.
func (r *rig) poll(owner *dispatch.State, w *faultWorker) {
	r.t.Helper()
	_, renewal, ok := owner.Renewal(r.now, w.info.ID, testLease)
	if !ok {
		r.t.Fatalf("worker %s isn't known", w.info.ID)
	}
	status, rep := w.renew(r.clock(), renewal)
	owner.HandleReport(r.now, w.info.ID, renewal, runner.Answer{Status: status, ClockMS: r.clock()}, rep)
}

// pollUnanswered polls a worker for an owner that it doesn't answer.
func (r *rig) pollUnanswered(owner *dispatch.State, id string) {
	if _, renewal, ok := owner.Renewal(r.now, id, testLease); ok {
		owner.HandleReport(r.now, id, renewal, runner.Answer{Status: runner.Unknown}, runner.Report{})
	}
}

// wantNoStart lets the owner that is cut off plan until it may no longer give orders.
// It reaches only the other worker. The successor polls the first one and commits.
func (r *replacedOwner) wantNoStart(polled func(owner *dispatch.State)) {
	r.t.Helper()
	other := newFaultWorker(otherWorker(r.worker.info.ID))
	for ; r.now.Sub(r.lastCommit) < cutOffFor; r.advance(testTick) {
		r.worker.advance(r.now, r.clock())
		r.poll(r.state, r.worker)
		r.flush()
		polled(r.cutOff)
		r.poll(r.cutOff, other)
		for _, o := range r.cutOff.Plan(r.now).Starts {
			state, _ := r.state.JobState("job")
			r.t.Fatalf("started %v on %s %v after the last commit, as the run before was over by %q; its successor knows the job as %v, and %s has %d runs",
				o.Start.Task, o.Worker.ID, r.now.Sub(r.lastCommit), o.Prior.Evidence, state, r.worker.info.ID, len(r.worker.runs))
		}
	}
}

// TestReplacedOwnerStartsTaskAgain guards against a replaced owner that starts a task
// again which runs on, or has ended, on a worker whose lease its successor renewed.
func TestReplacedOwnerStartsTaskAgain(t *testing.T) {
	unanswered := func(r *replacedOwner) func(*dispatch.State) {
		return func(owner *dispatch.State) { r.pollUnanswered(owner, r.worker.info.ID) }
	}
	proven := func(t *testing.T) *replacedOwner {
		r := newReplacedOwner(t)
		for ; r.now.Sub(r.lastCommit) < provenAge; r.advance(testTick) {
			r.poll(r.cutOff, r.worker)
		}
		r.replace()
		return r
	}
	t.Run("its worker doesn't answer", func(t *testing.T) {
		r := proven(t)
		r.wantNoStart(unanswered(r))
	})
	t.Run("its worker refuses the token", func(t *testing.T) {
		r := proven(t)
		r.wantNoStart(func(owner *dispatch.State) { r.poll(owner, r.worker) })
	})
	t.Run("its end is stored", func(t *testing.T) {
		r := proven(t)
		for id := range r.worker.runs {
			r.worker.endRun(id, runner.EndDone)
		}
		r.poll(r.state, r.worker)
		r.flush()
		r.wantState("job", workload.Complete)
		r.wantNoStart(unanswered(r))
	})
	t.Run("its worker was inherited", func(t *testing.T) {
		r := newReplacedOwner(t)
		r.takeOver(worker(0), worker(1))
		r.members(2)
		r.cutOff, r.lastCommit = r.state, r.now
		r.advance(time.Second)
		r.replace()
		r.wantNoStart(unanswered(r))
	})
}
