package dispatch

import "time"

const (
	// doubtFor bounds how long a worker that isn't heard still counts as alive
	// because many others aren't either. It delays by as much when the runs of
	// workers that are truly gone start again elsewhere.
	doubtFor = 2500 * time.Millisecond
	// doubtShare is the share of the workers heard before that fall silent within
	// doubtFor from which that says something of this owner's processor or link
	// rather than of them; doubtLeast is how many they are at the least. A rack or
	// an availability zone that is cut off stays below.
	doubtShare = 1.0 / 3
	doubtLeast = 8
)

// unheard takes in that a worker gave no answer in time. It then counts as
// silent: its leases aren't renewed, and what ran there starts elsewhere once
// they are over. Not so while many fall silent at once: then it is the owner that
// doesn't hear, and giving up on them would start again what still runs.
func (s *State) unheard(now time.Time, w *worker) {
	if w.silent {
		return
	}
	if w.unheardSince.IsZero() {
		w.unheardSince = now
	}
	w.silent = now.Sub(w.unheardSince) >= doubtFor || !s.doubtsItself(now)
}

// heard takes in that a worker answered.
func (w *worker) heard() { w.silent, w.unheardSince = false, time.Time{} }

// doubtsItself reports whether so many workers have fallen silent lately that
// the owner's own hearing is in doubt. If so, those that were given up while the
// first of them fell silent aren't any more.
func (s *State) doubtsItself(now time.Time) bool {
	var fallen []*worker
	heard := 0
	for _, w := range s.workers {
		switch {
		case !w.listed || !w.reported:
		case w.unheardSince.IsZero():
			heard++
		case now.Sub(w.unheardSince) < doubtFor:
			fallen = append(fallen, w)
		}
	}
	if len(fallen) < doubtLeast || float64(len(fallen)) <= doubtShare*float64(len(fallen)+heard) {
		return false
	}
	for _, w := range fallen {
		w.silent = false
	}
	return true
}

// Responsive reports whether a worker has answered the last time it was asked.
func (s *State) Responsive(id string) bool {
	w := s.workers[id]
	return w != nil && w.unheardSince.IsZero()
}
