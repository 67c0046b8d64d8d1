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
	// lockAt is when to ask for the advisory lock again, and unlockedAt when the host may
	// try without it, zero if it needn't.
	lockAt, unlockedAt time.Time
	// commitsLate is set if the owner is alive and the store answers it, though its commits
	// are late. askedAt is when it was last asked, answeredAt when it last answered.
	commitsLate         bool
	askedAt, answeredAt time.Time
	// readTime is the duration of the last read of the row, 0 if unknown.
	readTime time.Duration
}

// unchangedFor returns for how long the owner's row is known to have had a version.
func (s *suspicion) unchangedFor(version uint64) time.Duration {
	if version != s.version || s.since.IsZero() {
		return 0
	}
	return max(time.Since(s.since), 0)
}

// nextPoll returns the time until the next read of the owner's row: rowPollInterval, or
// less if the host may take the domain over before.
func (s *suspicion) nextPoll(now time.Time) time.Duration {
	if left := s.takeoverAt.Sub(now); left > 0 {
		return min(left, rowPollInterval)
	}
	return rowPollInterval
}
