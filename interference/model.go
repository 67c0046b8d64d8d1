package interference

import (
	"math"
)

const (
	// maxClasses bounds the number of latency-critical classes.
	maxClasses = 64
	// DefaultMargin is how far the logarithm of a latency should stay below
	// that of its objective; it corresponds to 0.64 of the objective.
	DefaultMargin = 0.45
	// certainDeviation is the standard deviation below which an effect counts
	// as known.
	certainDeviation = 0.35
)

// Model holds the estimated effects of batch classes on latency-critical
// classes. It is not safe for concurrent use.
type Model struct {
	objectives map[string]float64
	margin     float64
	priors     Priors
	classes    map[string]*classState
}

// NewModel returns a Model for the latency-critical classes in objectivesMS,
// which holds their objectives in milliseconds; other classes are ignored. The
// Model keeps the map, and Import may add to it. Margin is how far the
// logarithms of their latencies should stay below those of the objectives.
func NewModel(objectivesMS map[string]float64, margin float64) *Model {
	return NewModelWith(objectivesMS, margin, LogLatencyPriors())
}

// NewModelWith is NewModel with custom priors, for callers that use Observe
// with a value of their own.
func NewModelWith(objectivesMS map[string]float64, margin float64, p Priors) *Model {
	return &Model{objectives: objectivesMS, margin: margin, priors: p, classes: map[string]*classState{}}
}

// SetObjectives replaces the objectives, in milliseconds, and the margin.
// Estimates are kept; classes without an objective are ignored until they have
// one again.
func (m *Model) SetObjectives(objectivesMS map[string]float64, margin float64) {
	m.objectives, m.margin = objectivesMS, margin
}

// Learn updates the estimates with the tail latency of class under load.
// Reports are delayed: load must be that of the time when the latency was
// measured.
func (m *Model) Learn(class string, load Load, latencyMS float64) {
	s := m.classState(class)
	if s == nil || latencyMS <= 0 {
		return
	}
	m.Observe(class, load, math.Log(latencyMS/s.objectiveMS), 0)
}

// Observe updates the estimates with the value that was measured for class under
// load, in the unit of the Priors; for Learn it is the logarithm of the ratio of
// latency to objective. Variance is the uncertainty of the value in addition to
// the noise of reports.
func (m *Model) Observe(class string, load Load, value, variance float64) {
	s := m.classState(class)
	if s == nil {
		return
	}
	for _, share := range load.Batch {
		s.pair(share.Class)
	}
	v, _ := s.vector(load)
	s.model.learn(v, value, variance)
}

// Forget drops the estimates of a class.
func (m *Model) Forget(class string) { delete(m.classes, class) }

// Excess returns the expected amount by which the logarithm of the latency
// exceeds that of the objective less the margin, taking into account the
// uncertainty of the estimates; 0 for a class without an objective.
func (m *Model) Excess(class string, load Load) float64 {
	s := m.classState(class)
	if s == nil {
		return 0
	}
	v, unknown := s.vector(load)
	mean := v.dot(s.model.mean) + m.margin
	return expectedAbove(mean, math.Sqrt(s.model.variance(v)+unknown))
}

// MeanExcess is Excess without the uncertainty of the estimates. It decides
// whether to run a pair for a trial.
func (m *Model) MeanExcess(class string, load Load) float64 {
	s := m.classState(class)
	if s == nil {
		return 0
	}
	v, _ := s.vector(load)
	return max(v.dot(s.model.mean)+m.margin, 0)
}

// Effect returns what batchClass adds to the logarithm of class's latency if it
// uses the given share of a host's processors, and the standard deviation of
// the estimate; 0 and 0 for a class without an objective or beyond the maximum
// of classes.
func (m *Model) Effect(class, batchClass string, cpuShare float64) (mean, deviation float64) {
	s := m.classState(class)
	if s == nil {
		return 0, 0
	}
	v := vector{{featureAnyBatch, cpuShare}}
	p, known := s.pairs[batchClass]
	if !known {
		variance := s.model.variance(v) + cpuShare*cpuShare*s.priors.BatchClass.Variance
		return v.dot(s.model.mean) + cpuShare*s.priors.BatchClass.Mean, math.Sqrt(variance)
	}
	v = append(v, entry{p.feature, cpuShare})
	return v.dot(s.model.mean), math.Sqrt(s.model.variance(v))
}

// MaxEffect returns the largest mean Effect on any class of a batch class that
// uses a whole host; 0 if there is no estimate.
func (m *Model) MaxEffect(batchClass string) float64 {
	largest := 0.0
	for class, s := range m.classes {
		if _, known := s.pairs[batchClass]; known {
			mean, _ := m.Effect(class, batchClass, 1)
			largest = max(largest, mean)
		}
	}
	return largest
}

// Uncertain reports whether the estimate for a pair has a larger deviation
// than certainDeviation.
func (m *Model) Uncertain(class, batchClass string) bool {
	s := m.classState(class)
	if s == nil {
		return false
	}
	_, deviation := m.Effect(class, batchClass, 1)
	return deviation > certainDeviation
}

// classState returns the state of a class, creating it if needed and adapting it
// to a changed objective. It returns nil if the class has no objective, or is new
// and the maximum of classes is reached.
func (m *Model) classState(class string) *classState {
	objective := m.objectives[class]
	s, known := m.classes[class]
	switch {
	case objective <= 0:
		return nil
	case known:
		s.rebase(objective)
		return s
	case len(m.classes) >= maxClasses:
		return nil
	}
	s = newClassState(objective, m.priors)
	m.classes[class] = s
	return s
}

// expectedAbove returns the expectation of max(0, X) for a normally
// distributed X.
func expectedAbove(mean, deviation float64) float64 {
	if deviation < 1e-9 {
		return max(mean, 0)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	below := 0.5 * math.Erfc(-z/math.Sqrt2)
	return max(deviation*density+mean*below, 0)
}
