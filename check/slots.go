package check

import "fmt"

// checkSlots counts the requests that each endpoint works on.
func checkSlots(records []Record, _ Limits) []Violation {
	var found []Violation
	running := map[string]int{}
	for _, r := range records {
		switch {
		case r.RequestBegan != nil:
			b := r.RequestBegan
			running[b.Endpoint]++
			if n := running[b.Endpoint]; n > b.Slots {
				found = append(found, violation(SlotLimit,
					fmt.Sprintf("%s worked on %d requests with %d slots", b.Endpoint, n, b.Slots), r))
			}
		case r.RequestEnded != nil:
			running[r.RequestEnded.Endpoint]--
		}
	}
	return found
}
