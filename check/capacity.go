package check

import (
	"fmt"

	"github.com/fireflygate/fireflygate/infra"
)

// placement identifies a run on a worker.
type placement struct {
	worker string
	run    infra.RunID
}

// checkCapacity finds runs whose start raised the reservations on a worker above
// its capacity.
func checkCapacity(records []Record, _ Limits) []Violation {
	var found []Violation
	reserved := map[string]infra.Resources{}
	runs := map[placement]infra.Resources{}
	for _, r := range records {
		switch {
		case r.RunBegan != nil:
			b := r.RunBegan
			reserved[b.Worker] = reserved[b.Worker].Add(b.Resources)
			runs[placement{b.Worker, b.Run}] = b.Resources
			if !reserved[b.Worker].Fits(b.Capacity) {
				found = append(found, violation(CapacityLimit,
					fmt.Sprintf("worker %s has %+v reserved and capacity %+v", b.Worker, reserved[b.Worker], b.Capacity), r))
			}
		case r.RunEnded != nil:
			at := placement{r.RunEnded.Worker, r.RunEnded.Run}
			reserved[at.worker] = reserved[at.worker].Sub(runs[at])
			delete(runs, at)
		}
	}
	return found
}
