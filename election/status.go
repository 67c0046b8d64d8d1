package election

import "time"

// StaleAfter is the age of the owner's last commit from which other hosts check
// the owner's row themselves. It is above the interval of heartbeat commits.
const StaleAfter = 750 * time.Millisecond

// Status is what a host answers when asked whether it owns the domain.
type Status struct {
	// Incarnation identifies the host's process.
	Incarnation string
	// Owner is set if the host owns the domain, in epoch Epoch.
	Owner bool
	Epoch uint64
	// CommitAge is the age of the host's last commit as owner.
	CommitAge time.Duration
	// AnswerAge is the time since the table service last answered the owner, 0 if unknown.
	AnswerAge time.Duration
}

// Owns reports whether the host is the owner that the row names.
func (s *Status) Owns(row *Record) bool {
	return s.Owner && s.Incarnation == row.Incarnation && s.Epoch == row.Epoch
}

// ReasonCommitsFail is why a live owner is suspected.
const ReasonCommitsFail = "its commits fail"

// SuspectReason compares a host's status with the owner's row that names the
// host. It returns why the row must be read again, empty if it needn't, and
// whether the process that acquired the domain has terminated. A live process
// that denies the ownership may not have received the answer to its acquiring
// commit yet, so it doesn't count as terminated.
func (s *Status) SuspectReason(row *Record) (reason string, terminated bool) {
	switch {
	case s.Incarnation != row.Incarnation:
		return "another life of the host", true
	case !s.Owns(row):
		return "no longer the owner", false
	case s.CommitAge > StaleAfter:
		return ReasonCommitsFail, false
	}
	return "", false
}

// answeringFor is the age of the last answer up to which a table service that is well
// counts as answering. It exceeds the interval of heartbeat commits, and that of reads
// during a late commit.
const answeringFor = 900 * time.Millisecond

// CommitsLate reports whether the owner that the row names is alive and only its commits
// are late: the table service answers it, so another host's commits would be as late.
// readTime is the duration of a read by this host, 0 if unknown. The owner's own reads
// don't count, since they also take long if its processor is busy.
func (s *Status) CommitsLate(row *Record, readTime time.Duration) bool {
	answers := s.AnswerAge > 0 && s.AnswerAge < answeringFor+slowAnswerFactor*readTime
	return s.Owns(row) && answers && s.CommitAge > StaleAfter
}
