package interference

import (
	"math"
)

const (
	// maxServices bounds the latency-critical classes.
	maxServices = 64
	// DefaultMargin is by how much below its objective a class should stay,
	// as a logarithm: harm is counted from 0.64 of the objective on.
	DefaultMargin = 0.45
	// certain is the deviation of a weight below which a pair is learned.
	certain = 0.35
)

// Model holds what is known of each pair of classes. It is not safe for
// concurrent use.
type Model struct {
	objectives map[string]float64
	margin     float64
	priors     Priors
	services   map[string]*service
}

// NewModel returns a Model for latency-critical classes with their objectives
// in milliseconds; others are ignored. Margin is by how much below their
// objectives they should stay, as a logarithm.
func NewModel(objectivesMS map[string]float64, margin float64) *Model {
	return NewModelWith(objectivesMS, margin, LogLatencyPriors())
}

// NewModelWith is NewModel with priors of the caller's, who learns a value of
// its own by Observe.
func NewModelWith(objectivesMS map[string]float64, margin float64, p Priors) *Model {
	return &Model{objectives: objectivesMS, margin: margin, priors: p, services: map[string]*service{}}
}

// SetObjectives replaces the objectives, in milliseconds, and the margin. What
// was learned stays; a class without an objective is not judged meanwhile.
func (m *Model) SetObjectives(objectivesMS map[string]float64, margin float64) {
	m.objectives, m.margin = objectivesMS, margin
}

// Learn takes in the tail latency that class had while load ran beside it.
// The caller has allowed for the lag: load is of the time that the latency
// was measured at, not of when it was reported.
func (m *Model) Learn(class string, load Load, latencyMS float64) {
	s := m.service(class)
	if s == nil || latencyMS <= 0 {
		return
	}
	m.Observe(class, load, math.Log(latencyMS/s.objectiveMS), 0)
}

// Observe takes in a value that the class showed while load ran beside it.
// Variance is how uncertain the value is besides the noise of reports.
func (m *Model) Observe(class string, load Load, value, variance float64) {
	s := m.service(class)
	if s == nil {
		return
	}
	for _, share := range load.Batch {
		s.pair(share.Class)
	}
	v, _ := s.vector(load)
	s.model.learn(v, value, variance)
}

// Forget drops what is known of a class.
func (m *Model) Forget(class string) { delete(m.services, class) }

// Excess is by how much the logarithm of the latency is expected to be above
// the objective less a margin, uncertainty counted in.
func (m *Model) Excess(class string, load Load) float64 {
	s := m.service(class)
	if s == nil {
		return 0
	}
	v, unknown := s.vector(load)
	mean := v.dot(s.model.mean) + m.margin
	return expectedAbove(mean, math.Sqrt(s.model.variance(v)+unknown))
}

// MeanExcess is Excess as if the estimates were certain. It is for trying a
// pair out in order to learn it.
func (m *Model) MeanExcess(class string, load Load) float64 {
	s := m.service(class)
	if s == nil {
		return 0
	}
	v, _ := s.vector(load)
	return max(v.dot(s.model.mean)+m.margin, 0)
}

// Effect is what part of a host's processors given to batch class other adds
// to the logarithm of class's latency: the estimate and its deviation.
func (m *Model) Effect(class, other string, part float64) (mean, deviation float64) {
	s := m.service(class)
	if s == nil {
		return 0, 0
	}
	v := vector{{featureAny, part}}
	p, known := s.pairs[other]
	if !known {
		variance := s.model.variance(v) + part*part*s.priors.BatchClass.Variance
		return v.dot(s.model.mean) + part*s.priors.BatchClass.Mean, math.Sqrt(variance)
	}
	v = append(v, entry{p.at, part})
	return v.dot(s.model.mean), math.Sqrt(s.model.variance(v))
}

// MaxEffect is the most that a batch class which fills a host is estimated to
// add to the logarithm of any class's latency; 0 if nothing is known of it.
func (m *Model) MaxEffect(other string) float64 {
	loudest := 0.0
	for class, s := range m.services {
		if _, known := s.pairs[other]; known {
			mean, _ := m.Effect(class, other, 1)
			loudest = max(loudest, mean)
		}
	}
	return loudest
}

// Uncertain reports whether too little is known of a pair.
func (m *Model) Uncertain(class, other string) bool {
	s := m.service(class)
	if s == nil {
		return false
	}
	_, deviation := m.Effect(class, other, 1)
	return deviation > certain
}

// service returns what is known of a class, nil if it has no objective.
func (m *Model) service(class string) *service {
	objective := m.objectives[class]
	s, known := m.services[class]
	switch {
	case objective <= 0:
		return nil
	case known:
		s.rebase(objective)
		return s
	case len(m.services) >= maxServices:
		return nil
	}
	s = newService(objective, m.priors)
	m.services[class] = s
	return s
}

// expectedAbove is the expectation of max(0, X) for a normal X.
func expectedAbove(mean, deviation float64) float64 {
	if deviation < 1e-9 {
		return max(mean, 0)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	below := 0.5 * math.Erfc(-z/math.Sqrt2)
	return max(deviation*density+mean*below, 0)
}
