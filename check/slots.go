package check

import "fmt"

// endpointLife is one life of an endpoint under its name.
type endpointLife struct {
	endpoint string
	life     uint64
}

// checkSlots finds endpoints that processed more requests at once than they have
// slots. The requests of a life that has ended take no slots of the next.
func checkSlots(records []Record, _ Limits) []Violation {
	var found []Violation
	running := map[endpointLife]int{}
	for _, r := range records {
		switch {
		case r.RequestBegan != nil:
			b := r.RequestBegan
			at := endpointLife{b.Endpoint, b.Life}
			running[at]++
			if n := running[at]; n > b.Slots {
				found = append(found, violation(SlotLimit,
					fmt.Sprintf("endpoint %s processed %d requests at once with %d slots", b.Endpoint, n, b.Slots), r))
			}
		case r.RequestEnded != nil:
			running[endpointLife{r.RequestEnded.Endpoint, r.RequestEnded.Life}]--
		}
	}
	return found
}
