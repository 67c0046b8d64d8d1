package dispatch

import (
	"slices"
	"time"
)

// outageWindow is the time in which the workers of a rack become unresponsive if the
// rack as a whole is lost.
const outageWindow = massOutageGrace

// outageRetention is how long an outage is remembered: longer than any worker is waited
// for after it became unresponsive.
const outageRetention = 30 * time.Second

// outage records when a worker with certain labels became unresponsive.
type outage struct {
	worker string
	labels []string
	at     time.Time
}

// recordOutage records that the worker became unresponsive at the given time.
func (s *State) recordOutage(w *worker, at time.Time) {
	s.outages = slices.DeleteFunc(s.outages, func(o outage) bool { return o.worker == w.info.ID || at.Sub(o.at) > outageRetention })
	s.outages = append(s.outages, outage{w.info.ID, w.info.Labels, at})
}

// lostWithRack reports whether all workers that share a label with the worker, at
// least two, became unresponsive when it did. Then the cause is outside of its tasks.
func (s *State) lostWithRack(w *worker, at time.Time) bool {
	return slices.ContainsFunc(w.info.Labels, func(label string) bool {
		lost := 0
		for _, o := range s.outages {
			if slices.Contains(o.labels, label) && at.Sub(o.at).Abs() <= outageWindow {
				lost++
			}
		}
		if lost < 2 {
			return false
		}
		for _, other := range s.workers {
			if other.silentAt(at) || other == w || other.knownSince.After(at) || !other.info.HasLabel(label) {
				continue
			}
			return false
		}
		return true
	})
}

// silentAt reports whether the worker doesn't answer, or has started again under its ID and
// its life before became unresponsive within outageWindow of the given time.
func (l *life) silentAt(at time.Time) bool {
	return !l.unresponsiveSince.IsZero() || l.restarted && at.Sub(l.silentBefore).Abs() <= outageWindow
}
