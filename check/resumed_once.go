package check

import "fmt"

// checkResumedOnce checks that the epochs of a job strictly rise, that each
// checkpoint is resumed by at most one run, and that nothing runs after a
// run of the job was done.
func checkResumedOnce(records []Record, _ Limits) []Violation {
	var found []Violation
	last := map[string]Record{}
	resumed := map[string]Record{}
	done := map[string]Record{}
	for _, r := range records {
		if e := r.RunEnded; e != nil && e.State == "done" {
			done[e.Run.Job] = r
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
		if before, ok := resumed[b.Checkpoint]; ok {
			found = append(found, violation(ResumedOnce, fmt.Sprintf("checkpoint %s was resumed twice", b.Checkpoint), before, r))
		}
		resumed[b.Checkpoint] = r
	}
	return found
}
