package election

import "time"

const (
	// wholeCore is what the first owner's host is measured by.
	wholeCore = 1.0
	// firstHandicap is the longest wait before the first ownership of a domain:
	// more than the third of a second that hosts of one start lie apart.
	firstHandicap = 1500 * time.Millisecond
	// takeOverHandicap is the longest wait that a weaker host adds to a
	// take-over; a host as strong as the owner's has taken over by then.
	takeOverHandicap = 300 * time.Millisecond
)

// TakeoverDelay returns how much longer a host with so many processors waits than
// others before it takes the domain, because it has fewer than the owner before
// had, or than a whole one where there was none. The owner's host does most of
// the work: on hosts of 0.19 to 0.8 processors it is so one of the strongest,
// and where all are alike nobody waits longer at a take-over.
func TakeoverDelay(before *Record, cores float64) time.Duration {
	most, longest := before.Cores, takeOverHandicap
	if before.Host == "" {
		most, longest = wholeCore, firstHandicap
	}
	if cores <= 0 || cores >= most {
		return 0
	}
	return time.Duration((1 - cores/most) * float64(longest))
}

// AcquireWait returns how long the owner's row must stay as a host with so many
// processors has first seen it, until that host takes the domain. Patience is
// what it grants an owner that may still live. One that has resigned is not
// waited for, but weaker hosts still leave its place to stronger ones: without
// that, half of the resignations on hosts of 0.19 to 0.8 processors left the domain
// to one of 0.19, where planning took all of the processor.
func AcquireWait(before *Record, cores float64, patience time.Duration) time.Duration {
	if before.Resigned {
		patience = 0
	}
	return patience + TakeoverDelay(before, cores)
}
