package election

import "time"

const (
	// clearlyStronger is how many times the processors of an owner's host
	// another must have for the domain to move. An owner of 490 workers uses
	// 0.45 of a processor, so one of 0.19 falls behind; hosts that differ by less
	// than half aren't worth the half second that a hand-over took.
	clearlyStronger = 2
	// stayFor is how long an owner stays before it hands the domain over: about
	// as long as a weak one needs to read the state and learn of the workers, so
	// that a moment without strong hosts doesn't cost two take-overs at once.
	stayFor = 2 * time.Second
	// readyFor is how long the stronger host must have been there: three of its
	// questions, so that one that starts and fails again doesn't get the domain.
	// With one second instead of two, a weak owner of 490 workers gave the domain
	// up half a second to a second sooner after an outage.
	readyFor = time.Second
	// retryAfter is how long an owner stays whose predecessor handed the domain
	// over for a stronger host, which didn't take it: it may be cut off from the
	// table service, and outages there last up to some ten seconds.
	retryAfter = 30 * time.Second
)

// HandoverState is how an owner's host compares with the other hosts.
type HandoverState struct {
	// Cores are the processors of the owner's host, 0 if it doesn't know.
	Cores float64
	// BestCores are those of the strongest other host that can take the domain, 0 if
	// there is none, and BestSeenFor how long it has been there.
	BestCores   float64
	BestSeenFor time.Duration
	// OwnedFor is for how long the host has owned the domain.
	OwnedFor time.Duration
	// CommitAge is the age of its last commit.
	CommitAge time.Duration
	// PredecessorHandedOver is set if the owner before handed the domain over for a stronger
	// host than this.
	PredecessorHandedOver bool
}

// ShouldHandOver reports whether the owner should hand the domain over. A weak host
// that took it while the strong ones were away kept it otherwise until it
// died. Nothing moves while the table service is away.
func (s *HandoverState) ShouldHandOver() bool {
	stay := stayFor
	if s.PredecessorHandedOver {
		stay = retryAfter
	}
	return s.Cores > 0 && s.BestCores >= clearlyStronger*s.Cores && s.BestSeenFor >= readyFor &&
		s.OwnedFor >= stay && s.CommitAge <= StaleAfter
}
