package interference

import "math"

// Feature indexes of a latency-critical class. Those of the batch classes
// begin at featureClass.
const (
	featureIntercept = iota
	featureOwnUtilization
	featureAnyBatch
	featureClass
	// maxPairs bounds the batch classes per latency-critical class; beyond it
	// the least recently observed one is replaced.
	maxPairs = 24
)

// classState is the state of one latency-critical class.
type classState struct {
	objectiveMS float64
	priors      Priors
	model       *regression
	// pairs holds the observed batch classes.
	pairs map[string]*pair
	// clock counts the calls of pair, as the time for lastSeen.
	clock uint64
	// scratch is the last result of vector, kept to reuse its memory.
	scratch vector
}

// pair identifies the feature of a batch class.
type pair struct {
	feature  int
	lastSeen uint64
}

func newClassState(objectiveMS float64, p Priors) *classState {
	size := featureClass + maxPairs
	means := make([]float64, size)
	variances := make([]float64, size)
	means[featureIntercept], variances[featureIntercept] = p.Intercept.Mean, p.Intercept.Variance
	means[featureOwnUtilization], variances[featureOwnUtilization] = p.OwnUtilization.Mean, p.OwnUtilization.Variance
	means[featureAnyBatch], variances[featureAnyBatch] = p.AnyBatch.Mean, p.AnyBatch.Variance
	for i := featureClass; i < size; i++ {
		means[i], variances[i] = p.BatchClass.Mean, p.BatchClass.Variance
	}
	return &classState{
		objectiveMS: objectiveMS,
		priors:      p,
		model:       newRegression(means, variances, p.Drift),
		pairs:       map[string]*pair{},
	}
}

// rebase adjusts the weights to a changed objective. Values are logarithms of
// the ratio to the objective, so only the intercept changes.
func (s *classState) rebase(objectiveMS float64) {
	if s.objectiveMS == objectiveMS {
		return
	}
	s.model.mean[featureIntercept] += math.Log(s.objectiveMS / objectiveMS)
	s.objectiveMS = objectiveMS
}

// pair returns the pair with a batch class, creating it if needed, and marks it
// as observed. A new pair may replace the least recently observed one.
func (s *classState) pair(class string) *pair {
	s.clock++
	p, known := s.pairs[class]
	if !known {
		p = &pair{feature: s.freeFeature()}
		s.pairs[class] = p
	}
	p.lastSeen = s.clock
	return p
}

// freeFeature returns an unused feature. If there is none, it drops the least
// recently observed batch class and returns that class's feature, reset.
func (s *classState) freeFeature() int {
	if len(s.pairs) < maxPairs {
		return featureClass + len(s.pairs)
	}
	oldest := ""
	for class, p := range s.pairs {
		if oldest == "" || p.lastSeen < s.pairs[oldest].lastSeen {
			oldest = class
		}
	}
	feature := s.pairs[oldest].feature
	delete(s.pairs, oldest)
	s.model.reset(feature, s.priors.BatchClass.Mean, s.priors.BatchClass.Variance)
	return feature
}

// vector returns the features of a load. A batch class without an estimate
// counts with the common weight only, and its variance is returned in
// unknownVariance. The result is valid until the next call.
func (s *classState) vector(load Load) (v vector, unknownVariance float64) {
	v = append(s.scratch[:0], entry{featureIntercept, 1})
	if load.OwnUtilization != 0 {
		v = append(v, entry{featureOwnUtilization, load.OwnUtilization})
	}
	batch := 0.0
	for _, share := range load.Batch {
		batch += share.CPUShare
		p, known := s.pairs[share.Class]
		if !known {
			unknownVariance += share.CPUShare * share.CPUShare * s.priors.BatchClass.Variance
			continue
		}
		v = append(v, entry{p.feature, share.CPUShare})
	}
	if batch != 0 {
		v = append(v, entry{featureAnyBatch, batch})
	}
	s.scratch = v
	return v, unknownVariance
}
