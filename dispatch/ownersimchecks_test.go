package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// renewalTraceInterval is the least time between two traced renewals of a worker by one
// owner.
const renewalTraceInterval = time.Second

// traceLosses records the workers that an owner takes as lost.
func (s *ownerSim) traceLosses(o *simOwner) {
	for _, l := range o.state.TakeWorkerLosses() {
		s.tracef(workload.TaskID{}, "epoch %d takes %s as lost with %d runs: %v", o.epoch, l.Worker, l.Runs, l.Cause)
	}
}

// traceRenewal records a renewal by an owner that the store doesn't name any more.
func (s *ownerSim) traceRenewal(o *simOwner, w *faultWorker, status runner.Status) {
	key := fmt.Sprint(o.epoch, w.info.ID)
	recent := s.now.Sub(s.renewalTraced[key]) < renewalTraceInterval
	if status != runner.Done || recent || s.store.row.SameOwnership(&o.record) {
		return
	}
	s.renewalTraced[key] = s.now
	for _, id := range w.tasks() {
		s.tracef(id, "epoch %d renews %s for %.1f s", o.epoch, w.info.ID, float64(w.leaseUntil-w.clock(s.now))/1000)
	}
}

// checkOnePlace fails the test if a task runs on two workers, which only tasks of
// speculative steps may.
func (s *ownerSim) checkOnePlace() {
	seen := map[workload.TaskID]*faultWorker{}
	for _, w := range s.alive() {
		for _, id := range w.tasks() {
			r := w.runs[id]
			if other := seen[id]; other != nil && !r.step.Speculative {
				s.t.Fatalf("%v runs on %s (run %d) and %s (run %d)\n%s", id, other.describe(), other.runs[id].number, w.describe(), r.number, s.traceOf(id))
			}
			seen[id] = w
		}
	}
}

// checkNotDone fails the test if a task that has just started on a worker had ended
// and its end was acknowledged or durable. Only tasks of speculative steps may have a
// copy that starts late.
func (s *ownerSim) checkNotDone(id workload.TaskID, w *faultWorker) {
	st := w.runs[id].step
	if st.Speculative || st.LongRunning {
		return
	}
	if s.durablyDone[id] {
		s.t.Fatalf("%v was started on %s after its successful end was acknowledged\n%s", id, w.info.ID, s.traceOf(id))
	}
	if s.recordedDone[id] {
		s.t.Fatalf("%v was started on %s after its successful end was durable\n%s", id, w.info.ID, s.traceOf(id))
	}
}

// wantRuns checks the number of runs of a job.
func (s *ownerSim) wantRuns(job string, want int) {
	s.t.Helper()
	if n := s.running(job); n != want {
		s.t.Errorf("%d runs of %s, want %d\n%s", n, job, want, s.traceOf(workload.TaskID{Job: job}))
	}
}

// whereRuns returns the worker that runs a job's first task, nil if none does.
func (s *ownerSim) whereRuns(job string) *faultWorker {
	i := slices.IndexFunc(s.workers, func(w *faultWorker) bool { return w.runs[workload.TaskID{Job: job}] != nil })
	if i < 0 {
		return nil
	}
	return s.workers[i]
}
