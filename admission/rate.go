package admission

import (
	"math"
	"time"
)

// Rate estimates the work that some queues complete per second when the pool is full.
// The zero value is unknown.
type Rate struct {
	// begun is when the window began, completed the work completed since.
	begun     time.Time
	completed int64
	// lastEnd is when work was last completed.
	lastEnd time.Time
	// smoothed is the smoothed rate without the correction for weight, the sum of the
	// weights of the samples.
	smoothed, weight float64
	// observed is the time covered by samples.
	observed time.Duration
}

const (
	// rateWindow is the time covered by one sample, short beside rateMemory.
	rateWindow = 500 * time.Millisecond
	// rateMemory is the time after which the weight of a sample has fallen to a third. It
	// spans the run time of typical batch tasks, which end in groups.
	rateMemory = 3 * time.Second
	// minObserved is the time covered by samples from which the rate counts as known.
	minObserved = 2 * time.Second
	// maxWindow is the longest window that gives a sample. In a longer one nothing was
	// observed for a while, such as during an outage.
	maxWindow = 2 * time.Second
	// forgetAfter is the time since work was last completed after which the rate is
	// unknown again once the pool is full: either runs are so long that their ends don't
	// show a rate, or the pool was idle.
	forgetAfter = 10 * time.Second
)

// Observe records the work completed since the last call, in core-milliseconds, and whether
// the pool is full. While the pool isn't full, the work shows the demand, which is a lower
// bound of the rate.
func (r *Rate) Observe(now time.Time, completed int64, full bool) {
	if completed > 0 {
		r.lastEnd = now
	}
	switch {
	case r.lastEnd.IsZero():
		return // unknown until work is completed
	case full && now.Sub(r.lastEnd) > forgetAfter:
		*r = Rate{}
		return
	case r.begun.IsZero():
		r.begun = now // the first work was done before
		return
	}
	r.completed += completed
	length := now.Sub(r.begun)
	if length < rateWindow {
		return
	}
	if length <= maxWindow {
		r.add(float64(r.completed)/length.Seconds(), length, full)
	}
	r.begun, r.completed = now, 0
}

// add adds a sample, the rate of a window of the given length.
func (r *Rate) add(sample float64, length time.Duration, full bool) {
	if !full && r.known() && sample < r.estimate() {
		return
	}
	keep := math.Exp(-length.Seconds() / rateMemory.Seconds())
	r.smoothed = keep*r.smoothed + (1-keep)*sample
	r.weight = keep*r.weight + (1 - keep)
	r.observed = min(r.observed+length, minObserved)
}

// PerSecond returns the work completed per second, in core-milliseconds, 0 if unknown.
func (r *Rate) PerSecond() float64 {
	if !r.known() {
		return 0
	}
	return r.estimate()
}

func (r *Rate) known() bool { return r.observed >= minObserved }

func (r *Rate) estimate() float64 { return r.smoothed / r.weight }
