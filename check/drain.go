package check

import "fmt"

// checkDrain looks for calls in flight at a host as its planned stop began
// that ended as unknown, or never ended though the host has stopped.
func checkDrain(records []Record, _ Limits) []Violation {
	var found []Violation
	inFlight := map[string]Record{}
	draining := map[string]map[string]Record{}
	for _, r := range records {
		switch {
		case r.Sent != nil:
			inFlight[r.Sent.Call] = r
		case r.DrainBegan != nil:
			calls := map[string]Record{}
			for call, ask := range inFlight {
				if ask.Sent.Host == r.DrainBegan.Host {
					calls[call] = ask
				}
			}
			draining[r.DrainBegan.Host] = calls
		case r.Answered != nil:
			ask, ok := inFlight[r.Answered.Call]
			delete(inFlight, r.Answered.Call)
			if !ok {
				continue
			}
			if _, cut := draining[ask.Sent.Host][r.Answered.Call]; cut && r.Answered.Outcome == outcomeUnknown {
				found = append(found, violation(GracefulStop,
					fmt.Sprintf("call %s at %s was cut off by its planned stop", r.Answered.Call, ask.Sent.Host), ask, r))
			}
		}
	}
	for _, calls := range draining {
		for call, ask := range calls {
			if _, open := inFlight[call]; open {
				found = append(found, violation(GracefulStop, fmt.Sprintf("call %s never ended", call), ask))
			}
		}
	}
	return found
}
