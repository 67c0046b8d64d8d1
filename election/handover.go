package election

import "time"

const (
	// minCoreRatio is the least ratio of another host's processors to the owner's
	// for a handover; smaller gains don't justify the interruption.
	minCoreRatio = 2
	// minOwnership is the least time an owner keeps the domain, so that a short
	// absence of strong hosts doesn't cause two takeovers in a row. It is about
	// the time that a weak owner needs to load the state and poll the workers.
	minOwnership = 2 * time.Second
	// minCandidateAge is the least time for which the stronger host must have been
	// available, so that a host that keeps failing doesn't get the domain.
	minCandidateAge = time.Second
	// handoverRetryDelay replaces minOwnership after a handover that no stronger
	// host accepted. It exceeds common outages of the table service.
	handoverRetryDelay = 30 * time.Second
)

// HandoverState is the input to the decision whether to hand the domain over.
type HandoverState struct {
	// Cores is the number of processors of the owner's host, 0 if unknown.
	Cores float64
	// BestCores is the number of processors of the strongest other host that can
	// own the domain, 0 if there is none; BestSeenFor is how long it has been
	// available.
	BestCores   float64
	BestSeenFor time.Duration
	// OwnedFor is how long the host has owned the domain.
	OwnedFor time.Duration
	// CommitAge is the age of the owner's last commit.
	CommitAge time.Duration
	// PredecessorHandedOver is set if the previous owner resigned to hand the
	// domain over to a host with more processors than this one.
	PredecessorHandedOver bool
}

// ShouldSkipLoad reports whether a new owner should hand the domain over before it
// has loaded the state: a weak host takes so long to load a large domain that leases
// expire meanwhile. An owner that hasn't loaded the state gives no orders that a handover
// could interrupt, so the stronger host needn't have been available for long. If a
// stronger host didn't accept an earlier handover, the owner loads the state.
func (s *HandoverState) ShouldSkipLoad() bool {
	return s.strongerAvailable() && !s.PredecessorHandedOver && s.CommitAge <= StaleAfter
}

// strongerAvailable reports whether another host has so many more processors that it
// should own the domain.
func (s *HandoverState) strongerAvailable() bool {
	return s.Cores > 0 && s.BestCores >= minCoreRatio*s.Cores
}

// ShouldHandOver reports whether the owner should hand the domain over to a
// stronger host. It doesn't while the table service is unavailable.
func (s *HandoverState) ShouldHandOver() bool {
	minOwned := minOwnership
	if s.PredecessorHandedOver {
		minOwned = handoverRetryDelay
	}
	return s.strongerAvailable() && s.BestSeenFor >= minCandidateAge && s.OwnedFor >= minOwned && s.CommitAge <= StaleAfter
}
