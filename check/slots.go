package check

import "fmt"

// checkSlots finds endpoints that processed more requests at once than they have
// slots.
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
					fmt.Sprintf("endpoint %s processed %d requests at once with %d slots", b.Endpoint, n, b.Slots), r))
			}
		case r.RequestEnded != nil:
			running[r.RequestEnded.Endpoint]--
		}
	}
	return found
}
