package check

import "fmt"

// checkConfigMonotonic finds entry hosts whose configuration version decreased.
func checkConfigMonotonic(records []Record, _ Limits) []Violation {
	var found []Violation
	last := map[string]Record{}
	for _, r := range records {
		c := r.ConfigInForce
		if c == nil {
			continue
		}
		if before, ok := last[c.Host]; ok && c.Version < before.ConfigInForce.Version {
			found = append(found, violation(ConfigMonotonic,
				fmt.Sprintf("host %s reverted from version %d to %d", c.Host, before.ConfigInForce.Version, c.Version), before, r))
		}
		last[c.Host] = r
	}
	return found
}

// checkConfigInTime checks that each host running when a version was accepted
// has this or a later version in force within the bound. Hosts that stop before
// the bound are exempt, and so are versions whose bound lies beyond the last record.
func checkConfigInTime(records []Record, limits Limits) []Violation {
	var found []Violation
	for i, accepted := range records {
		if accepted.ConfigAccepted == nil {
			continue
		}
		deadline := accepted.At.Add(limits.ConfigBound)
		behind := hostsBehind(records[:i], accepted.ConfigAccepted.Version)
		endsBeforeDeadline := true
		for _, r := range records[i:] {
			if r.At.After(deadline) {
				endsBeforeDeadline = false
				break
			}
			if c := r.ConfigInForce; c != nil && c.Version >= accepted.ConfigAccepted.Version {
				delete(behind, c.Host)
			}
			if r.ConfigHostEnded != nil {
				delete(behind, r.ConfigHostEnded.Host)
			}
		}
		if endsBeforeDeadline {
			continue
		}
		for host, last := range behind {
			found = append(found, violation(ConfigInTime,
				fmt.Sprintf("host %s did not have version %d in force within %s", host, accepted.ConfigAccepted.Version, limits.ConfigBound), accepted, last))
		}
	}
	return found
}

// hostsBehind returns the running hosts with a lower version in force, each with
// the record of that version.
func hostsBehind(records []Record, version uint64) map[string]Record {
	hosts := map[string]Record{}
	for _, r := range records {
		if r.ConfigInForce != nil {
			hosts[r.ConfigInForce.Host] = r
		}
		if r.ConfigHostEnded != nil {
			delete(hosts, r.ConfigHostEnded.Host)
		}
	}
	for host, r := range hosts {
		if r.ConfigInForce.Version >= version {
			delete(hosts, host)
		}
	}
	return hosts
}
