package check

import "fmt"

// checkSinglePlacement finds runs of one job that overlap in time.
func checkSinglePlacement(records []Record, _ Limits) []Violation {
	var found []Violation
	open := map[string]map[placement]Record{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			b := r.RunBegan
			job := open[b.Run.Job]
			if job == nil {
				job = map[placement]Record{}
				open[b.Run.Job] = job
			}
			for at, other := range job {
				found = append(found, violation(SinglePlacement,
					fmt.Sprintf("job %s ran on %s and %s at the same time", b.Run.Job, at.worker, b.Worker), other, r))
			}
			job[placement{b.Worker, b.Run}] = r
		case r.RunEnded != nil:
			e := r.RunEnded
			delete(open[e.Run.Job], placement{e.Worker, e.Run})
		}
	}
	return found
}
