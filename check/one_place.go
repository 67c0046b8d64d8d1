package check

import "fmt"

// checkOnePlace looks for runs of one job that overlap in time.
func checkOnePlace(records []Record, _ Limits) []Violation {
	var found []Violation
	open := map[string]map[placed]Record{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			b := r.RunBegan
			job := open[b.Run.Job]
			if job == nil {
				job = map[placed]Record{}
				open[b.Run.Job] = job
			}
			for at, other := range job {
				found = append(found, violation(SinglePlacement,
					fmt.Sprintf("job %s ran on %s and on %s", b.Run.Job, at.worker, b.Worker), other, r))
			}
			job[placed{b.Worker, b.Run}] = r
		case r.RunEnded != nil:
			e := r.RunEnded
			delete(open[e.Run.Job], placed{e.Worker, e.Run})
		}
	}
	return found
}
