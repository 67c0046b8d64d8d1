package check

import "fmt"

// checkClosedZones finds runs that began on workers of a zone that had been closed for
// longer than the grace period.
func checkClosedZones(records []Record, limits Limits) []Violation {
	var found []Violation
	closed := map[string]Record{}
	for _, r := range records {
		switch {
		case r.ZoneClosed != nil:
			closed[r.ZoneClosed.Zone] = r
		case r.ZoneOpened != nil:
			delete(closed, r.ZoneOpened.Zone)
		case r.RunBegan != nil:
			since, ok := closed[r.RunBegan.Zone]
			if ok && r.At.Sub(since.At) > limits.ZoneGrace {
				found = append(found, violation(NoStartInClosedZone,
					fmt.Sprintf("worker %s in %s began a run %s after the zone was closed", r.RunBegan.Worker, r.RunBegan.Zone, r.At.Sub(since.At)), since, r))
			}
		}
	}
	return found
}
