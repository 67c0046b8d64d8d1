// Package processpause detects pauses of its own process: the process was
// stopped, its machine was suspended, or it got no processor time. Latencies
// measured across a pause say nothing about the other side. The package reads
// no clock; times are passed in and must be monotonic.
package processpause

import (
	"slices"
	"time"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// MinPause is the shortest gap between two ticks that counts as a pause.
	// It exceeds usual scheduling delays on a loaded machine.
	MinPause = 250 * time.Millisecond
	// maxSpans is the number of pauses remembered. It exceeds the number of
	// pauses during the longest request.
	maxSpans = 32
)

// Detector records the pauses of the process. The zero value has recorded
// neither a tick nor a pause.
type Detector struct {
	lastTick time.Time
	spans    []span
	// total is the sum of all recorded pauses.
	total time.Duration
}

// span is the time of one pause.
type span struct{ from, to time.Time }

// Tick records that the process is running and returns the length of the pause
// that ended, or 0. It must be called every TickInterval.
func (d *Detector) Tick(now time.Time) time.Duration {
	gap, paused := d.gapSinceTick(now)
	d.lastTick = now
	if !paused {
		return 0
	}
	d.total += gap.to.Sub(gap.from)
	d.spans = append(d.spans, gap)
	if len(d.spans) > maxSpans {
		d.spans = d.spans[1:]
	}
	return gap.to.Sub(gap.from)
}

// PausedWithin returns how long the process was paused between from and now,
// including a pause that no tick has ended yet.
func (d *Detector) PausedWithin(from, now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, s := range d.spansUntil(now) {
		sum += s.overlap(from, now)
	}
	return sum
}

// RunningTime returns the time at now on a clock that stops during pauses, including
// a pause that no tick has ended yet. Differences of its times are the time for which
// the process ran.
func (d *Detector) RunningTime(now time.Time) time.Time {
	paused := d.total
	if gap, ok := d.gapSinceTick(now); ok {
		paused += gap.to.Sub(gap.from)
	}
	return now.Add(-paused)
}

// ResumedAt returns when the last pause ended: now if no tick has ended it yet, and
// the zero time if there was none.
func (d *Detector) ResumedAt(now time.Time) time.Time {
	if _, paused := d.gapSinceTick(now); paused {
		return now
	}
	if len(d.spans) == 0 {
		return time.Time{}
	}
	return d.spans[len(d.spans)-1].to
}

// LongestWithin returns the longest single pause between from and now.
func (d *Detector) LongestWithin(from, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range d.spansUntil(now) {
		longest = max(longest, s.overlap(from, now))
	}
	return longest
}

// spansUntil returns the recorded pauses and the one in progress at now, if
// any.
func (d *Detector) spansUntil(now time.Time) []span {
	if gap, paused := d.gapSinceTick(now); paused {
		return append(slices.Clone(d.spans), gap)
	}
	return d.spans
}

// gapSinceTick returns the time since the last tick and whether it is a pause.
func (d *Detector) gapSinceTick(now time.Time) (span, bool) {
	return span{d.lastTick, now}, !d.lastTick.IsZero() && now.Sub(d.lastTick) >= MinPause
}

// overlap returns how much of the span lies between two times.
func (s span) overlap(from, to time.Time) time.Duration {
	if from.Before(s.from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(to.Sub(from), 0)
}
