package election

import "time"

const (
	// firstOwnerCores is the number of processors from which a host doesn't delay
	// the first ownership of a domain.
	firstOwnerCores = 1.0
	// maxFirstDelay bounds the delay before the first ownership of a domain. It
	// exceeds the time within which a deployment's hosts usually start.
	maxFirstDelay = 1500 * time.Millisecond
	// maxTakeoverDelay bounds the delay that a weaker host adds to a takeover. A
	// strong host may learn of the owner's loss a ping interval later than a weak
	// one, and starts its timeout anew if it finds a version of the row that it
	// hasn't seen; the delay of a much weaker host covers both.
	maxTakeoverDelay = 1500 * time.Millisecond
)

// TakeoverDelay returns the additional time that a host with the given number
// of processors waits before it acquires the domain. It is positive for hosts
// with fewer processors than the row's reference, or than
// firstOwnerCores if there was none, because the owner needs the most processor
// time of all hosts.
func TakeoverDelay(previous *Record, cores float64) time.Duration {
	reference, maxDelay := previous.Cores, maxTakeoverDelay
	if previous.Host == "" {
		reference, maxDelay = firstOwnerCores, maxFirstDelay
	}
	if cores <= 0 || cores >= reference {
		return 0
	}
	return time.Duration((1 - cores/reference) * float64(maxDelay))
}

// AcquireWait returns how long the owner's row must stay unchanged before a
// host with the given number of processors acquires the domain. The timeout
// applies to an owner that may be alive; a resigned owner isn't waited for, but
// weaker hosts still wait for TakeoverDelay.
func AcquireWait(previous *Record, cores float64, timeout time.Duration) time.Duration {
	if previous.Resigned {
		timeout = 0
	}
	return timeout + TakeoverDelay(previous, cores)
}
