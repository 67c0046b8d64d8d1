package interference

import (
	"slices"
	"strings"
)

// ClassEstimate holds the estimates of one latency-critical class in
// serializable form.
type ClassEstimate struct {
	Class       string  `msgpack:"c"`
	ObjectiveMS float64 `msgpack:"o"`
	// Common holds the weights of the features that every class has, in order
	// of the feature indexes.
	Common []Weight `msgpack:"w"`
	// Pairs holds the weights of the batch classes.
	Pairs []PairWeight `msgpack:"p"`
}

// Weight is a regression weight with its variance.
type Weight struct {
	Mean     float32 `msgpack:"m"`
	Variance float32 `msgpack:"v"`
}

// PairWeight is the weight of one batch class.
type PairWeight struct {
	BatchClass string `msgpack:"o"`
	Weight     Weight `msgpack:"w"`
	// lastSeen is the time at which the pair was last observed, on the clock of its class.
	lastSeen uint64
}

// Export returns the estimates in order of class. Covariances between weights
// aren't included: they make up most of the state and are soon learned again.
func (m *Model) Export() []ClassEstimate {
	all := make([]ClassEstimate, 0, len(m.classes))
	for class, s := range m.classes {
		e := ClassEstimate{Class: class, ObjectiveMS: s.objectiveMS}
		for i := range featureClass {
			e.Common = append(e.Common, s.weight(i))
		}
		for batchClass, p := range s.pairs {
			e.Pairs = append(e.Pairs, PairWeight{BatchClass: batchClass, Weight: s.weight(p.feature), lastSeen: p.lastSeen})
		}
		slices.SortFunc(e.Pairs, func(a, b PairWeight) int { return strings.Compare(a.BatchClass, b.BatchClass) })
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b ClassEstimate) int { return strings.Compare(a.Class, b.Class) })
	return all
}

func (s *classState) weight(feature int) Weight {
	return Weight{Mean: float32(s.model.mean[feature]), Variance: float32(s.model.covariance[feature*s.model.size+feature])}
}

// setWeight sets the weight of a feature and its variance.
func (s *classState) setWeight(feature int, w Weight) {
	s.model.mean[feature] = float64(w.Mean)
	s.model.covariance[feature*s.model.size+feature] = float64(w.Variance)
}

// Import adds estimates exported by another Model, and the objectives of their
// classes where the map passed to NewModel has none. Classes that this Model has
// estimates of are left unchanged. Malformed estimates and those beyond the
// maximum of classes are skipped.
func (m *Model) Import(estimates []ClassEstimate) {
	for _, e := range estimates {
		if m.classes[e.Class] != nil || len(m.classes) >= maxClasses || e.ObjectiveMS <= 0 || len(e.Common) != featureClass {
			continue
		}
		s := newClassState(e.ObjectiveMS, m.priors)
		for i, w := range e.Common {
			s.setWeight(i, w)
		}
		for _, p := range e.Pairs[:min(len(e.Pairs), maxPairs)] {
			s.setWeight(s.pair(p.BatchClass).feature, p.Weight)
		}
		m.classes[e.Class] = s
		if m.objectives[e.Class] == 0 {
			m.objectives[e.Class] = e.ObjectiveMS
		}
	}
}
