package dispatch

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/admission"
	"github.com/fireflygate/fireflygate/workload"
)

// TasksAhead counts the tasks ready to start that come before a new job of a queue while
// starts wait for the owner: those of the same or a higher priority that are still useful.
// Before a job of urgent steps only such steps come, see PlanLimits.
func (s *State) TasksAhead(now time.Time, spec *workload.Job, q workload.Queue) int {
	n := 0
	urgentOnly := beginsUrgent(spec)
	for _, j := range s.open {
		if j.queue.Priority > q.Priority {
			continue
		}
		for _, o := range j.occurrences {
			if !j.longRunning && now.After(j.expiry(o)) {
				continue
			}
			for _, st := range o.steps {
				if st.ready() && (!urgentOnly || isUrgent(st.spec)) {
					n += st.idle
				}
			}
		}
	}
	return n
}

// OnTimeWait returns how long the first start of a new job may wait for the job to be
// complete in time. It is without bound for jobs to which admission doesn't apply, as they
// have no such time.
func (s *State) OnTimeWait(now time.Time, wallNow int64, spec *workload.Job, q workload.Queue) time.Duration {
	if admission.Exempt(spec, &q) {
		return math.MaxInt64
	}
	job := admission.NewJob(now, wallNow, spec, &q, s.expectedIn(q))
	return max(job.Objective.Sub(now)-job.CriticalPath, 0)
}

// beginsUrgent reports whether all steps that a job begins with are urgent.
func beginsUrgent(spec *workload.Job) bool {
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 && !isUrgent(&spec.Steps[i]) {
			return false
		}
	}
	return true
}

// isUrgent reports whether the tasks of a step come first while visits are limited: they end
// by themselves and reserve their processors.
func isUrgent(st *workload.Step) bool { return !st.LongRunning && !st.BestEffort }
