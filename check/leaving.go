package check

import "fmt"

// checkLeaving looks for work that began at an endpoint after the list had
// shown it as leaving for the grace.
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
					fmt.Sprintf("%s got work %s after it was leaving", r.RequestBegan.Endpoint, r.At.Sub(since.At)), since, r))
			}
		}
	}
	return found
}
