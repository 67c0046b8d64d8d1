package election

import "time"

// StaleAfter is the age of the owner's last commit from which other hosts look
// at its row themselves: nearly twice the heartbeat.
const StaleAfter = 750 * time.Millisecond

// Status is what a host says of its ownership.
type Status struct {
	// Incarnation names the life of its process.
	Incarnation string
	// Owner is set if it owns the domain, under Epoch.
	Owner bool
	Epoch uint64
	// CommitAge is the age of its last commit.
	CommitAge time.Duration
}

// Owns reports whether the host owns the domain as the owner's row says.
func (a *Status) Owns(leader *Record) bool {
	return a.Owner && a.Incarnation == leader.Incarnation && a.Epoch == leader.Epoch
}

// SuspectReason returns why an answer of the host that the owner's row names is a reason
// to look at the row, empty if it is none, and whether the owner's process is
// gone. One that is alive may be the owner without knowing it yet: the answer to
// the commit by which it took the domain is still on its way. Taken for gone,
// owners were replaced 0.5 s after they took over while the table service was
// slow.
func (a *Status) SuspectReason(leader *Record) (why string, gone bool) {
	switch {
	case a.Incarnation != leader.Incarnation:
		return "another life of the host", true
	case !a.Owns(leader):
		return "no longer the owner", false
	case a.CommitAge > StaleAfter:
		return "its commits fail", false
	}
	return "", false
}
