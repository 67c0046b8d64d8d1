package check

import "fmt"

// checkDrain checks the calls that were in flight at a host when its planned stop
// began: each must end, with a known outcome.
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
			for call, request := range inFlight {
				if request.Sent.Host == r.DrainBegan.Host {
					calls[call] = request
				}
			}
			draining[r.DrainBegan.Host] = calls
		case r.Answered != nil:
			request, ok := inFlight[r.Answered.Call]
			delete(inFlight, r.Answered.Call)
			if !ok {
				continue
			}
			if _, wasInFlight := draining[request.Sent.Host][r.Answered.Call]; wasInFlight && r.Answered.Outcome == outcomeUnknown {
				found = append(found, violation(GracefulStop,
					fmt.Sprintf("call %s at %s was cut off by the planned stop of the host", r.Answered.Call, request.Sent.Host), request, r))
			}
		}
	}
	for _, calls := range draining {
		for call, request := range calls {
			if _, unended := inFlight[call]; unended {
				found = append(found, violation(GracefulStop, fmt.Sprintf("call %s never ended", call), request))
			}
		}
	}
	return found
}
