package check

import (
	"fmt"

	"github.com/fireflygate/fireflygate/infra"
)

// placed is a run on a worker.
type placed struct {
	worker string
	run    infra.RunID
}

// checkCapacity sums the reservations of the runs on each worker.
func checkCapacity(records []Record, _ Limits) []Violation {
	var found []Violation
	held := map[string]infra.Resources{}
	runs := map[placed]infra.Resources{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			b := r.RunBegan
			held[b.Worker] = held[b.Worker].Add(b.Resources)
			runs[placed{b.Worker, b.Run}] = b.Resources
			if !held[b.Worker].Fits(b.Capacity) {
				found = append(found, violation(CapacityLimit,
					fmt.Sprintf("%s reserves %+v with capacity %+v", b.Worker, held[b.Worker], b.Capacity), r))
			}
		case r.RunEnded != nil:
			at := placed{r.RunEnded.Worker, r.RunEnded.Run}
			held[at.worker] = held[at.worker].Sub(runs[at])
			delete(runs, at)
		}
	}
	return found
}
