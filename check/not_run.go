package check

import "fmt"

// checkNotRun looks for work on calls whose callers were told that they did
// not run, also work that began later.
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
		if told, ok := notRun[r.RequestBegan.Call]; ok {
			found = append(found, violation(NotRunAccurate,
				fmt.Sprintf("call %s was told not run and ran at %s", r.RequestBegan.Call, r.RequestBegan.Endpoint), told, r))
		}
	}
	return found
}
