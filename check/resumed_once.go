package check

import (
	"fmt"

	"github.com/fireflygate/fireflygate/infra"
)

// checkResumedOnce checks that the epochs of a job strictly rise, that each
// checkpoint is resumed by at most one run, and that nothing runs after a
// run of the job was done. A run that broke off without progress of its own,
// since it failed, was killed or lost its lease, leaves the checkpoint to the
// next: the work has not been resumed then, it is tried again.
func checkResumedOnce(records []Record, _ Limits) []Violation {
	var found []Violation
	last := map[string]Record{}
	resumed := map[string]Record{}
	done := map[string]Record{}
	brokenOff := map[infra.RunID]bool{}
	for _, r := range records {
		if e := r.RunEnded; e != nil {
			if e.State == infra.RunDone {
				done[e.Run.Job] = r
			}
			if brokeOff(e) {
				brokenOff[e.Run] = true
			}
		}
		b := r.RunBegan
		if b == nil {
			continue
		}
		job := b.Run.Job
		if before, ok := last[job]; ok && b.Run.Epoch <= before.RunBegan.Run.Epoch {
			found = append(found, violation(ResumedOnce,
				fmt.Sprintf("job %s began epoch %d after %d", job, b.Run.Epoch, before.RunBegan.Run.Epoch), before, r))
		}
		last[job] = r
		if before, ok := done[job]; ok {
			found = append(found, violation(ResumedOnce, fmt.Sprintf("job %s began again after it was done", job), before, r))
		}
		if b.Checkpoint == "" {
			continue
		}
		if before, ok := resumed[b.Checkpoint]; ok && !brokenOff[before.RunBegan.Run] {
			found = append(found, violation(ResumedOnce, fmt.Sprintf("checkpoint %s was resumed twice", b.Checkpoint), before, r))
		}
		resumed[b.Checkpoint] = r
	}
	return found
}

// brokeOff reports whether a run ended without its work or a checkpoint.
func brokeOff(e *RunEnded) bool {
	switch e.State {
	case infra.RunFailed, infra.RunKilled, infra.RunExpired:
		return e.Checkpoint == ""
	default:
		return false
	}
}
