package dispatch_test

import (
	"fmt"

	"github.com/fireflygate/fireflygate/workload"
)

// checkInvariants fails the test if a worker that refuses what doesn't fit exceeds
// its capacity, or a task runs on two workers, which only tasks of speculative steps
// may.
func (s *faultSim) checkInvariants() {
	seen := map[workload.TaskID]string{}
	for _, w := range s.alive() {
		for id, r := range w.runs {
			if other, duplicate := seen[id]; duplicate && !r.step.Speculative {
				s.t.Fatalf("%v runs on %s and %s%s", id, other, w.info.ID, s.returnTraceOf(id))
			}
			seen[id] = w.info.ID
		}
		if free := w.free(); !s.unguarded && (free.MilliCPU < 0 || free.MemoryMB < 0) {
			s.t.Fatalf("%s exceeds its capacity: %+v is free", w.info.ID, free)
		}
	}
}

// waitingDespiteCapacity describes the long-running tasks that don't run although
// a worker has the capacity for them.
func (s *faultSim) waitingDespiteCapacity() []string {
	var found []string
	running := map[workload.TaskID]bool{}
	for _, w := range s.alive() {
		for id := range w.runs {
			running[id] = true
		}
	}
	for _, j := range s.jobs {
		if state, ok := s.state.JobState(j.ID); !ok || state.Final() {
			continue
		}
		for n := range j.Steps[0].Tasks {
			id := workload.TaskID{Job: j.ID, Index: n}
			if !j.Steps[0].LongRunning || running[id] {
				continue
			}
			for _, w := range s.alive() {
				if s.canRun(w, j, &j.Steps[0]) {
					found = append(found, fmt.Sprintf("%v while %s could run it", id, w.info.ID))
				}
			}
		}
	}
	return found
}

// canRun reports whether a worker has the capacity for a task and may run it.
func (s *faultSim) canRun(w *faultWorker, j *workload.Job, step *workload.Step) bool {
	n := 0
	for id := range w.runs {
		if id.Job == j.ID {
			n++
		}
	}
	limited := step.MaxPerWorker > 0 && n >= step.MaxPerWorker
	return w.leavesAt.IsZero() && !limited && step.Reserved().Fits(w.free())
}

// running counts the runs of a job.
func (s *faultSim) running(job string) int {
	n := 0
	for _, w := range s.alive() {
		for id := range w.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}
