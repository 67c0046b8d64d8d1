package control

import "time"

// suspicion is the reason for replacing the owner, and what is known of its
// row.
type suspicion struct {
	reason string
	// terminated is set if the owner's process seems to have terminated.
	terminated bool
	// version is the last known version of the owner's row, and since the time from
	// which the row is known to be unchanged, zero if there is no such time.
	version uint64
	since   time.Time
	// takeoverAt is when this host may take the domain over if the row stays unchanged,
	// zero if unknown.
	takeoverAt time.Time
}

// nextPoll returns the time until the next read of the owner's row: rowPollInterval, or
// less if the host may take the domain over before.
func (s *suspicion) nextPoll(now time.Time) time.Duration {
	if left := s.takeoverAt.Sub(now); left > 0 {
		return min(left, rowPollInterval)
	}
	return rowPollInterval
}
