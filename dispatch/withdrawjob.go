package dispatch

import (
	"slices"

	"github.com/fireflygate/fireflygate/workload"
)

// WithdrawUncollected drops the jobs that no batch has contained so far, and returns
// their IDs in order of acceptance. No commit can have made them durable, so neither this
// owner nor a later one runs them. A dropped job that is submitted again is a new job.
//
// Jobs of earlier owners and jobs of which a run has been seen are kept, also if no batch
// of this owner contains them.
func (s *State) WithdrawUncollected() []string {
	var withdrawn []string
	s.dirty = slices.DeleteFunc(s.dirty, func(j *job) bool {
		if !j.withdrawable() {
			return false
		}
		withdrawn = append(withdrawn, j.spec.ID)
		s.removeJob(j.spec.ID)
		return true
	})
	if len(withdrawn) > 0 {
		s.open = slices.DeleteFunc(s.open, (*job).withdrawable)
	}
	return withdrawn
}

// withdrawable reports whether nothing but this owner's memory can hold the job. Such a
// job is always among the dirty ones.
func (j *job) withdrawable() bool {
	if j.collected || j.inherited || (j.state != workload.Queued && j.state != workload.Cancelled) {
		return false
	}
	seen := false
	j.eachTask(func(t *task) { seen = seen || t.started || len(t.endedRuns) > 0 })
	return !seen
}
