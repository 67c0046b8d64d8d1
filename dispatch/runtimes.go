package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// expectedIn returns the expected run time of the tasks of steps in a queue.
func (s *State) expectedIn(q workload.Queue) func(*workload.Step) time.Duration {
	if s.cfg.Disabled.Has(mechanism.LearnedRunTimes) {
		return func(st *workload.Step) time.Duration { return st.Estimate }
	}
	return func(st *workload.Step) time.Duration { return s.runTimes.Expected(q.Name, st.Estimate) }
}

// learnRunTime records the run time of a task that is done. A task that ran before may
// have resumed from a checkpoint and isn't counted. The model learns a step at a time,
// since the tasks of a step are alike.
func (s *State) learnRunTime(st *step, ran time.Duration, firstRun bool) {
	if st.spec.LongRunning || !firstRun {
		return
	}
	st.ranFor += ran
	st.timedTasks++
	if st.unfinishedTasks == 1 {
		s.runTimes.Learn(st.job.queue.Name, st.spec.Estimate, st.ranFor/time.Duration(st.timedTasks))
	}
}
