package dispatch

import "time"

const (
	// massOutageGrace bounds how long unresponsive workers count as alive
	// because many others are unresponsive too. After a real outage it delays
	// the restart of their runs by as much.
	massOutageGrace = 2500 * time.Millisecond
	// massOutageShare is the share of responsive workers that must become
	// unresponsive within massOutageGrace for the owner to suspect its own
	// processor or link; massOutageMin is their minimum number. The loss of one
	// rack or availability zone stays below. If as many workers have answered since the
	// first of them became unresponsive, its processor and link work.
	massOutageShare = 1.0 / 3
	massOutageMin   = 8
)

// markUnresponsive records that a worker didn't answer in time. The worker is
// then suspected: its leases aren't renewed, and its runs start elsewhere once
// the leases expire. While many workers become unresponsive at once, the owner
// suspects itself instead and keeps renewing.
func (s *State) markUnresponsive(now time.Time, w *worker) {
	if w.suspected {
		return
	}
	if w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = now
		s.recordOutage(w, now)
	}
	w.suspected = now.Sub(w.unresponsiveSince) >= massOutageGrace || !s.suspectsItself(now)
}

// markResponsive records that a worker answered.
func (w *worker) markResponsive() { w.suspected, w.unresponsiveSince = false, time.Time{} }

// suspectsItself reports whether so many workers became unresponsive lately, while few
// answered, that the owner's own processor or link is the likely cause. If so, it clears
// the suspicion of those workers. It asks the others whether they answer.
func (s *State) suspectsItself(now time.Time) bool {
	var unresponsive, responsive []*worker
	onset := now
	for _, w := range s.workers {
		switch {
		case !w.listed || !w.reported:
		case w.unresponsiveSince.IsZero():
			responsive = append(responsive, w)
		case now.Sub(w.unresponsiveSince) < massOutageGrace:
			unresponsive = append(unresponsive, w)
			if w.unresponsiveSince.Before(onset) {
				onset = w.unresponsiveSince
			}
		}
	}
	if len(unresponsive) < massOutageMin || float64(len(unresponsive)) <= massOutageShare*float64(len(unresponsive)+len(responsive)) {
		return false
	}
	answered := 0
	for _, w := range responsive {
		if w.polledAt.After(onset) {
			answered++
		} else {
			w.wantAnswer()
		}
	}
	if answered >= len(unresponsive) {
		return false
	}
	for _, w := range unresponsive {
		w.suspected = false
	}
	return true
}

// Responsive reports whether a worker answered its last poll.
func (s *State) Responsive(id string) bool {
	w := s.workers[id]
	return w != nil && w.unresponsiveSince.IsZero()
}
