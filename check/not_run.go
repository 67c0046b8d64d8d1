package check

import "fmt"

// checkNotRun finds requests that an endpoint processed, before or after their
// callers received the outcome "not run".
func checkNotRun(records []Record, _ Limits) []Violation {
	var found []Violation
	notRun := map[string]Record{}
	for _, r := range records {
		if r.Answered != nil && r.Answered.Outcome == outcomeNotRun {
			notRun[r.Answered.Call] = r
		}
	}
	for _, r := range records {
		if r.RequestBegan == nil || r.RequestBegan.Call == "" {
			continue
		}
		if reported, ok := notRun[r.RequestBegan.Call]; ok {
			found = append(found, violation(NotRunAccurate,
				fmt.Sprintf("call %s was reported as not run but ran at %s", r.RequestBegan.Call, r.RequestBegan.Endpoint), reported, r))
		}
	}
	return found
}
