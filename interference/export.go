package interference

import (
	"slices"
	"strings"
)

// Lesson is what is known of one latency-critical class, in a form that can be
// kept and recalled by another Model.
type ClassEstimate struct {
	Class       string  `msgpack:"c"`
	ObjectiveMS float64 `msgpack:"o"`
	// Common are the weights that every class has, in the model's order.
	Common []Weight `msgpack:"w"`
	// Pairs are the weights of the batch classes.
	Pairs []PairWeight `msgpack:"p"`
}

// Weight is one weight of a regression and how sure it is.
type Weight struct {
	Mean     float32 `msgpack:"m"`
	Variance float32 `msgpack:"v"`
}

// PairWeight is the weight of one batch class.
type PairWeight struct {
	BatchClass string `msgpack:"o"`
	Weight     Weight `msgpack:"w"`
}

// Lessons returns what is known, in the order of classes. How the weights
// depend on each other is left out: it is most of the state, and soon learned
// again.
func (m *Model) Export() []ClassEstimate {
	all := make([]ClassEstimate, 0, len(m.services))
	for class, s := range m.services {
		l := ClassEstimate{Class: class, ObjectiveMS: s.objectiveMS}
		for i := range featureClass {
			l.Common = append(l.Common, s.weight(i))
		}
		for other, p := range s.pairs {
			l.Pairs = append(l.Pairs, PairWeight{BatchClass: other, Weight: s.weight(p.at)})
		}
		slices.SortFunc(l.Pairs, func(a, b PairWeight) int { return strings.Compare(a.BatchClass, b.BatchClass) })
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b ClassEstimate) int { return strings.Compare(a.Class, b.Class) })
	return all
}

// weight returns one weight of a service.
func (s *service) weight(at int) Weight {
	return Weight{Mean: float32(s.model.mean[at]), Variance: float32(s.model.covariance[at*s.model.size+at])}
}

// recall sets one weight of a service.
func (s *service) recall(at int, w Weight) {
	s.model.mean[at] = float64(w.Mean)
	s.model.covariance[at*s.model.size+at] = float64(w.Variance)
}

// Recall takes in what another Model has learned. Classes that this one knows
// already are left as they are.
func (m *Model) Import(lessons []ClassEstimate) {
	for _, l := range lessons {
		if m.services[l.Class] != nil || len(m.services) >= maxServices || l.ObjectiveMS <= 0 || len(l.Common) != featureClass {
			continue
		}
		s := newService(l.ObjectiveMS, m.priors)
		for i, w := range l.Common {
			s.recall(i, w)
		}
		for _, p := range l.Pairs[:min(len(l.Pairs), maxPairs)] {
			s.recall(s.pair(p.BatchClass).at, p.Weight)
		}
		m.services[l.Class] = s
		if m.objectives[l.Class] == 0 {
			m.objectives[l.Class] = l.ObjectiveMS
		}
	}
}
