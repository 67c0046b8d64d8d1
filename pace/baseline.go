package pace

import (
	"math"
	"time"
)

const (
	// maxImages bounds the images that are tracked. Beyond it all are learned anew,
	// which takes seconds.
	maxImages = 1024
	// minSamples is the number of measurements, of which a run may give several, after
	// which the baseline of an image is used.
	minSamples = 20
	// baselineStep is the least adaptation of a baseline per measurement.
	baselineStep = 0.05
	// maxSpread is the largest median deviation, as a logarithm, with which a baseline
	// is used: a slowdown of SlowFactor is then twice the standard deviation.
	maxSpread = 0.23
)

// Baselines tracks, by image, how the run times of tasks compare with the expected
// ones. The zero value is empty.
type Baselines struct{ images map[string]*baseline }

// baseline tracks the median and the median deviation of a logarithm.
type baseline struct {
	median, deviation float64
	samples           int
}

// Slowdown records the time that a task of an image takes and the expected one. It returns
// how many times as long the task takes as the image's tasks usually do, false if that
// isn't known.
func (b *Baselines) Slowdown(image string, taken, expected time.Duration) (float64, bool) {
	if taken <= 0 || expected <= 0 {
		return 0, false
	}
	if len(b.images) >= maxImages && b.images[image] == nil {
		clear(b.images)
	}
	if b.images == nil {
		b.images = map[string]*baseline{}
	}
	l := b.images[image]
	if l == nil {
		l = &baseline{}
		b.images[image] = l
	}
	x := math.Log(float64(taken)/float64(expected)) - l.median
	known := l.samples >= minSamples && l.deviation <= maxSpread
	l.samples++
	step := max(baselineStep, 1/float64(l.samples))
	l.median += math.Copysign(step, x)
	l.deviation += math.Copysign(step, math.Abs(x)-l.deviation)
	return math.Exp(x), known
}
