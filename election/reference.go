package election

import "time"

// referenceRetention is how long a new owner keeps the takeover reference of its
// predecessor. It exceeds candidateTTL and the time within which each available host
// has pinged the new owner, including hosts that still wait for an earlier one.
const referenceRetention = 5 * time.Second

// ReferenceCores returns the number of processors that an owner records as the
// reference for takeovers: its own or those of the strongest other host that is
// available, and before it has owned the domain for referenceRetention no fewer than
// inherited, the reference of its predecessor.
func ReferenceCores(own, strongest, inherited float64, ownedFor time.Duration) float64 {
	best := max(own, strongest)
	if ownedFor < referenceRetention {
		best = max(best, inherited)
	}
	return best
}

// ReferenceHosts returns the number of hosts that an owner records: those that it knows,
// and before it has owned the domain for referenceRetention no fewer than inherited, the
// number in its predecessor's row.
func ReferenceHosts(known, inherited int, ownedFor time.Duration) int {
	if ownedFor < referenceRetention {
		return max(known, inherited)
	}
	return known
}
