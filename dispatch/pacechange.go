package dispatch

import (
	"math"
)

// PaceChange is a worker that became slow or healthy again, or that reported figures out
// of range.
type PaceChange struct {
	Worker string
	Found  PaceFinding
	// Factor is how many times as long tasks take on the worker as on its peers.
	Factor float64
	// Runs counts its runs.
	Runs int
}

// PaceFinding is what was found of a worker.
type PaceFinding uint8

// The findings.
const (
	// PaceSlow: it is slow.
	PaceSlow PaceFinding = iota
	// PaceHealthy: it is no longer slow.
	PaceHealthy
	// PaceInvalidFigures: it reported a progress outside 0 to 100 percent or a negative
	// figure, which is ignored. Only the first of an incarnation is recorded.
	PaceInvalidFigures
)

// String returns the finding's name in logs.
func (f PaceFinding) String() string {
	switch f {
	case PaceSlow:
		return "slow"
	case PaceHealthy:
		return "healthy"
	default:
		return "figures out of range"
	}
}

// TakePaceChanges returns and clears the changes since the last call.
func (s *State) TakePaceChanges() []PaceChange {
	if s.pace == nil {
		return nil
	}
	changes := s.pace.changes
	s.pace.changes = nil
	return changes
}

// maxPaceChanges bounds the changes kept for TakePaceChanges.
const maxPaceChanges = 4096

func (s *State) recordPaceChange(w *worker, found PaceFinding, factor float64) {
	if len(s.pace.changes) < maxPaceChanges {
		s.pace.changes = append(s.pace.changes, PaceChange{
			Worker: w.info.ID, Found: found, Factor: math.Round(10*factor) / 10, Runs: len(w.runs),
		})
	}
}
