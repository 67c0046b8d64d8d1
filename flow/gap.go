package flow

import "time"

const (
	// calm is the smoothed round trip up to which reports are asked for at once.
	calm = 60 * time.Millisecond
	// gapFactor is how many times the delay beyond it a worker is left alone.
	// Ends gather there meanwhile, and one report tells of several.
	gapFactor = 5
	// longestGap bounds it: what waits for an end waits for it too, and leases
	// are several times as long.
	longestGap = time.Second
)

// PollInterval returns how long a worker is left alone after a report before the next is
// asked for, given the smoothed round trip of orders.
func PollInterval(smoothed time.Duration) time.Duration {
	return min(max(gapFactor*(smoothed-calm), 0), longestGap)
}
