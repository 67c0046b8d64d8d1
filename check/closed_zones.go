package check

import "fmt"

// checkClosedZones finds runs and requests that began in a zone that had been closed for
// longer than the grace period.
func checkClosedZones(records []Record, limits Limits) []Violation {
	var found []Violation
	closed := map[string]Record{}
	for _, r := range records {
		switch {
		case r.ZoneClosed != nil:
			closed[r.ZoneClosed.Zone] = r
			continue
		case r.ZoneOpened != nil:
			delete(closed, r.ZoneOpened.Zone)
			continue
		}
		zone, what := begunIn(r)
		since, ok := closed[zone]
		if ok && r.At.Sub(since.At) > limits.ZoneGrace {
			found = append(found, violation(NoStartInClosedZone,
				fmt.Sprintf("%s in %s %s after the zone was closed", what, zone, r.At.Sub(since.At)), since, r))
		}
	}
	return found
}

// begunIn returns the zone in which the record's run or request began, if any and known,
// and what began.
func begunIn(r Record) (zone, what string) {
	switch {
	case r.RunBegan != nil:
		return r.RunBegan.Zone, "worker " + r.RunBegan.Worker + " began a run"
	case r.RequestBegan != nil:
		return r.RequestBegan.Zone, "endpoint " + r.RequestBegan.Endpoint + " began a request"
	default:
		return "", ""
	}
}
