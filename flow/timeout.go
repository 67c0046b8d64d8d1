package flow

import "time"

// Timeout follows how long answers take and says how long to wait for one: the
// smoothed round trip and four mean deviations, as RFC 6298 has it for segments.
// It is for all of an owner's workers together, since what delays many of them
// is the owner's own processor or link.
type Timeout struct {
	// Min and Ceiling bound the time to wait.
	Min, Max time.Duration

	smoothed, deviation time.Duration
	// missed is the share of the last orders that got no answer in time.
	missed float64
	// factor is by how much the time to wait is longer while many get none.
	factor float64
}

const (
	// smoothedWeight and deviationWeight are the weights of a new round trip,
	// from RFC 6298.
	smoothedWeight, deviationWeight = 1.0 / 8, 1.0 / 4
	// deviations is how many mean deviations are waited beyond the mean.
	deviations = 4
	// missedWeight is the weight of a new order in the share that gets no
	// answer: some dozens of orders decide.
	missedWeight = 1.0 / 64
	// missedMany is the share from which the time to wait doubles: those that
	// are missed would have been the longest round trips. Single workers or
	// racks that are gone stay below it.
	missedMany = 0.25
	// factorDecay is how the factor falls with each answer.
	factorDecay = 0.99
)

// Answered takes in the round trip of an order.
func (t *Timeout) Answered(took time.Duration) {
	t.missed -= missedWeight * t.missed
	t.factor = max(t.factor*factorDecay, 1)
	if t.smoothed == 0 {
		t.smoothed, t.deviation = took, took/2
		return
	}
	off := max(took-t.smoothed, t.smoothed-took)
	t.deviation += time.Duration(deviationWeight * float64(off-t.deviation))
	t.smoothed += time.Duration(smoothedWeight * float64(took-t.smoothed))
}

// TimedOut takes in that an order got no answer in time.
func (t *Timeout) TimedOut() {
	t.missed += missedWeight * (1 - t.missed)
	if t.missed >= missedMany {
		t.factor = max(t.factor, 1) * 2
		t.missed /= 2 // the next doubling takes as much evidence again
	}
}

// Value returns how long to wait for an answer.
func (t *Timeout) Value() time.Duration {
	wait := time.Duration(max(t.factor, 1) * float64(max(t.smoothed+deviations*t.deviation, t.Min)))
	return min(wait, t.Max)
}

// SmoothedRTT returns the smoothed round trip, 0 before the first.
func (t *Timeout) SmoothedRTT() time.Duration { return t.smoothed }
