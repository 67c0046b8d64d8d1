// Package standstill notices when the process itself did not run: it was
// stopped, its machine was suspended, or it got no processor. What was measured
// over such a time says nothing of those whom the process waited for.
//
// It reads no clock; times are passed in and must be of the steady clock.
package standstill

import (
	"slices"
	"time"
)

const (
	// Interval is the time between two beats.
	TickInterval = 50 * time.Millisecond
	// Least is the shortest gap between two beats that counts: five beats
	// missed, which a loaded machine's scheduler doesn't cause by itself.
	MinPause = 250 * time.Millisecond
	// kept is how many spells are remembered: more than fit into a request, with
	// its longest run of seconds.
	kept = 32
)

// Watch remembers when the process stood still. The zero value has seen no
// beat and knows of no spell.
type Detector struct {
	last   time.Time
	spells []spell
}

// spell is a time in which the process stood still.
type spell struct{ from, to time.Time }

// Beat notes that the process runs now, and returns how long it had stood still
// before, 0 if it hadn't. It is to be called every Interval.
func (w *Detector) Tick(now time.Time) time.Duration {
	gap, stood := w.gap(now)
	w.last = now
	if !stood {
		return 0
	}
	w.spells = append(w.spells, gap)
	if len(w.spells) > kept {
		w.spells = w.spells[1:]
	}
	return gap.to.Sub(gap.from)
}

// Within returns how much of the time between from and now the process stood
// still, also in a spell that no beat has ended yet.
func (w *Detector) PausedWithin(from, now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, s := range w.all(now) {
		sum += s.overlap(from, now)
	}
	return sum
}

// Longest returns the longest time on end of that.
func (w *Detector) LongestWithin(from, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range w.all(now) {
		longest = max(longest, s.overlap(from, now))
	}
	return longest
}

// all returns the spells up to now, the one under way among them.
func (w *Detector) all(now time.Time) []spell {
	if gap, stood := w.gap(now); stood {
		return append(slices.Clone(w.spells), gap)
	}
	return w.spells
}

// gap returns the time since the last beat, and whether that is a spell.
func (w *Detector) gap(now time.Time) (spell, bool) {
	return spell{w.last, now}, !w.last.IsZero() && now.Sub(w.last) >= MinPause
}

// overlap returns how much of the spell lies between two times.
func (s spell) overlap(from, to time.Time) time.Duration {
	if from.Before(s.from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(to.Sub(from), 0)
}
