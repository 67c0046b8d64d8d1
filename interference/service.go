package interference

import "math"

// The features of a latency-critical class, in their order: those every class
// has, then one to a batch class.
const (
	featureBase = iota
	featureSelf
	featureAny
	featureClass
	// maxPairs bounds the batch classes told apart; the one not seen for
	// longest gives way.
	maxPairs = 24
)

// service is what is known of one latency-critical class.
type service struct {
	objectiveMS float64
	priors      Priors
	model       *regression
	pairs       map[string]*pair
	clock       uint64
	scratch     vector
}

// pair is one batch class beside the service.
type pair struct {
	at   int
	seen uint64
}

func newService(objectiveMS float64, p Priors) *service {
	size := featureClass + maxPairs
	means := make([]float64, size)
	variances := make([]float64, size)
	means[featureBase], variances[featureBase] = p.Intercept.Mean, p.Intercept.Variance
	means[featureSelf], variances[featureSelf] = p.OwnUtilization.Mean, p.OwnUtilization.Variance
	means[featureAny], variances[featureAny] = p.AnyBatch.Mean, p.AnyBatch.Variance
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

// rebase moves what was learned to another objective: latencies are counted as
// logarithms over it, so only the base moves.
func (s *service) rebase(objectiveMS float64) {
	if s.objectiveMS == objectiveMS {
		return
	}
	s.model.mean[featureBase] += math.Log(s.objectiveMS / objectiveMS)
	s.objectiveMS = objectiveMS
}

// pair returns the pair with a batch class and begins one if need be.
func (s *service) pair(class string) *pair {
	s.clock++
	p, known := s.pairs[class]
	if !known {
		p = &pair{at: s.freeFeature()}
		s.pairs[class] = p
	}
	p.seen = s.clock
	return p
}

// freeFeature returns a feature without a class, if need be that of the class
// not seen for longest.
func (s *service) freeFeature() int {
	if len(s.pairs) < maxPairs {
		return featureClass + len(s.pairs)
	}
	oldest := ""
	for class, p := range s.pairs {
		if oldest == "" || p.seen < s.pairs[oldest].seen {
			oldest = class
		}
	}
	at := s.pairs[oldest].at
	delete(s.pairs, oldest)
	s.model.forget(at, s.priors.BatchClass.Mean, s.priors.BatchClass.Variance)
	return at
}

// vector turns a load into features. What is not known of a class yet counts
// as any class, with extra variance returned besides.
func (s *service) vector(load Load) (v vector, unknown float64) {
	v = append(s.scratch[:0], entry{featureBase, 1})
	if load.OwnUtilization != 0 {
		v = append(v, entry{featureSelf, load.OwnUtilization})
	}
	batch := 0.0
	for _, share := range load.Batch {
		batch += share.CPUShare
		p, known := s.pairs[share.Class]
		if !known {
			unknown += share.CPUShare * share.CPUShare * s.priors.BatchClass.Variance
			continue
		}
		v = append(v, entry{p.at, share.CPUShare})
	}
	if batch != 0 {
		v = append(v, entry{featureAny, batch})
	}
	s.scratch = v
	return v, unknown
}
