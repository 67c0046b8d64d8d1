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

// service is the state of one latency-critical class.
type service struct {
	objectiveMS float64
	priors      Priors
	model       *regression
	pairs       map[string]*pair
	clock       uint64
	scratch     vector
}

// pair identifies the feature of a batch class.
type pair struct {
	feature  int
	lastSeen uint64
}

func newService(objectiveMS float64, p Priors) *service {
	size := featureClass + maxPairs
	means := make([]float64, size)
	variances := make([]float64, size)
	means[featureIntercept], variances[featureIntercept] = p.Intercept.Mean, p.Intercept.Variance
	means[featureOwnUtilization], variances[featureOwnUtilization] = p.OwnUtilization.Mean, p.OwnUtilization.Variance
	means[featureAnyBatch], variances[featureAnyBatch] = p.AnyBatch.Mean, p.AnyBatch.Variance
	for i := featureClass; i < size; i++ {
		means[i], variances[i] = p.BatchClass.Mean, p.BatchClass.Variance
	}
	return &service{
		objectiveMS: objectiveMS,
		priors:      p,
		model:       newRegression(means, variances, p.Drift),
		pairs:       map[string]*pair{},
	}
}

// rebase adjusts the weights to a changed objective. Values are logarithms of
// the ratio to the objective, so only the intercept changes.
func (s *service) rebase(objectiveMS float64) {
	if s.objectiveMS == objectiveMS {
		return
	}
	s.model.mean[featureIntercept] += math.Log(s.objectiveMS / objectiveMS)
	s.objectiveMS = objectiveMS
}

// pair returns the pair with a batch class, creating it if needed, and marks
// it as observed.
func (s *service) pair(class string) *pair {
	s.clock++
	p, known := s.pairs[class]
	if !known {
		p = &pair{feature: s.freeFeature()}
		s.pairs[class] = p
	}
	p.lastSeen = s.clock
	return p
}

// freeFeature returns an unused feature; if there is none, that of the least
// recently observed class.
func (s *service) freeFeature() int {
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
// unknownVariance.
func (s *service) vector(load Load) (v vector, unknownVariance float64) {
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
