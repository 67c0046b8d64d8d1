package dispatch_test

import (
	"slices"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// checkForgotten fails the test if a renewal makes a worker forget an end that the committed
// rows don't hold.
func (s *faultSim) checkForgotten(w *faultWorker, o runner.Renewal) {
	for _, e := range w.ends {
		if e.Number <= o.Acknowledged && !s.committedEnd(e) {
			s.t.Fatalf("%s forgets end %d, run %d of %v, %v, which isn't in the committed rows\n%s", w.describe(), e.Number, e.Run, e.Task, e.Kind, s.traceOf(e.Task))
		}
	}
}

// committedEnd reports whether the committed rows hold all that an end of a run changes. Only
// ends as done or failed, of tasks that don't last, change any.
func (s *faultSim) committedEnd(e runner.RunEnd) bool {
	st := s.stepOf(e.Task)
	if st.LongRunning || (e.Kind != runner.EndDone && e.Kind != runner.EndFailed) {
		return true
	}
	if _, ok := s.rows[dispatch.JobPrefix+e.Task.Job]; !ok {
		return true // removed some time after it has ended
	}
	value, ok := s.rows[dispatch.ProgressPrefix+e.Task.Job]
	if !ok {
		return false
	}
	progress, err := dispatch.DecodeProgressRow(value)
	if err != nil {
		s.t.Fatal(err)
	}
	if progress.State.Final() || taskDone(progress, e.Task) {
		return true
	}
	return e.Kind == runner.EndFailed && slices.ContainsFunc(progress.Failed, func(f dispatch.FailedRuns) bool {
		return f.Step == e.Task.Step && (f.Index == e.Task.Index || st.Gang) && slices.Contains(f.Runs, e.Run)
	})
}

// taskDone reports whether progress says that a task of a job without occurrences is done.
func taskDone(p *dispatch.ProgressRow, id workload.TaskID) bool {
	if id.Step >= len(p.Done) || id.Index/8 >= len(p.Done[id.Step]) {
		return false
	}
	return p.Done[id.Step][id.Index/8]&(1<<(id.Index%8)) != 0
}

// stepOf returns the step of a task.
func (s *faultSim) stepOf(id workload.TaskID) *workload.Step {
	i := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID == id.Job })
	return &s.jobs[i].Steps[id.Step]
}
