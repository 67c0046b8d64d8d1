package check

import "fmt"

// checkLeaving finds requests that started at an endpoint listed as leaving for
// longer than the grace period.
func checkLeaving(records []Record, limits Limits) []Violation {
	var found []Violation
	leaving := map[string]Record{}
	for _, r := range records {
		switch {
		case r.LeavingBegan != nil:
			leaving[r.LeavingBegan.Member] = r
		case r.LeavingEnded != nil:
			delete(leaving, r.LeavingEnded.Member)
		case r.RequestBegan != nil:
			since, ok := leaving[r.RequestBegan.Endpoint]
			if ok && r.At.Sub(since.At) > limits.LeavingGrace {
				found = append(found, violation(NoWorkAfterLeaving,
					fmt.Sprintf("endpoint %s received a request %s after it was listed as leaving", r.RequestBegan.Endpoint, r.At.Sub(since.At)), since, r))
			}
		}
	}
	return found
}
