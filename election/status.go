package election

import "time"

// StaleAfter is the age of the owner's last commit from which other hosts check
// the owner's row themselves. It is above the interval of heartbeat commits.
const StaleAfter = 750 * time.Millisecond

// Status is a host's answer about its own ownership.
type Status struct {
	// Incarnation identifies the host's process.
	Incarnation string
	// Owner is set if the host owns the domain, in epoch Epoch.
	Owner bool
	Epoch uint64
	// CommitAge is the age of the host's last commit as owner.
	CommitAge time.Duration
}

// Owns reports whether the host holds the ownership that the row leader names.
func (s *Status) Owns(leader *Record) bool {
	return s.Owner && s.Incarnation == leader.Incarnation && s.Epoch == leader.Epoch
}

// SuspectReason returns why the answer of the host that the row leader names
// gives reason to check the row, empty if it doesn't, and whether the owner's
// process has terminated. A live process that denies the ownership may not have
// received the answer to its acquiring commit yet, so it doesn't count as
// terminated.
func (s *Status) SuspectReason(leader *Record) (reason string, terminated bool) {
	switch {
	case s.Incarnation != leader.Incarnation:
		return "another life of the host", true
	case !s.Owns(leader):
		return "no longer the owner", false
	case s.CommitAge > StaleAfter:
		return "its commits fail", false
	}
	return "", false
}
