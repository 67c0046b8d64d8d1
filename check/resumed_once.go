package check

import (
	"fmt"

	"github.com/fireflygate/fireflygate/infra"
)

// checkResumedOnce checks that the epochs of a job strictly increase, that at
// most one run resumes each checkpoint, and that no run starts after the job is
// done. If a run fails, is killed or expires without a new checkpoint, another
// run may resume from the same one.
func checkResumedOnce(records []Record, _ Limits) []Violation {
	var found []Violation
	last := map[string]Record{}
	resumed := map[string]Record{}
	done := map[string]Record{}
	withoutProgress := map[infra.RunID]bool{}
	for _, r := range records {
		if e := r.RunEnded; e != nil {
			if e.State == infra.RunDone {
				done[e.Run.Job] = r
			}
			if endedWithoutProgress(e) {
				withoutProgress[e.Run] = true
			}
		}
		b := r.RunBegan
		if b == nil {
			continue
		}
		job := b.Run.Job
		if before, ok := last[job]; ok && b.Run.Epoch <= before.RunBegan.Run.Epoch {
			found = append(found, violation(ResumedOnce,
				fmt.Sprintf("job %s started epoch %d after epoch %d", job, b.Run.Epoch, before.RunBegan.Run.Epoch), before, r))
		}
		last[job] = r
		if before, ok := done[job]; ok {
			found = append(found, violation(ResumedOnce, fmt.Sprintf("job %s started again after it was done", job), before, r))
		}
		if b.Checkpoint == "" {
			continue
		}
		if before, ok := resumed[b.Checkpoint]; ok && !withoutProgress[before.RunBegan.Run] {
			found = append(found, violation(ResumedOnce, fmt.Sprintf("checkpoint %s was resumed more than once", b.Checkpoint), before, r))
		}
		resumed[b.Checkpoint] = r
	}
	return found
}

// endedWithoutProgress reports whether a run ended neither done nor with a new
// checkpoint.
func endedWithoutProgress(e *RunEnded) bool {
	switch e.State {
	case infra.RunFailed, infra.RunKilled, infra.RunExpired:
		return e.Checkpoint == ""
	default:
		return false
	}
}
