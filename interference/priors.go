package interference

// Prior is what is assumed of a weight before anything was learned.
type Prior struct{ Mean, Variance float64 }

// Priors are the priors of a class's weights. A weight is what its feature
// adds to the learned value where it is 1: a constant, a class at full load
// of its own, or a batch class that fills the host.
type Priors struct {
	// Intercept is the constant, Self the class's own load.
	Intercept, OwnUtilization Prior
	// AnyBatch is what all batch classes have in common, Class what one adds to it.
	AnyBatch, BatchClass Prior
	// Drift is by how much the variance of a weight in use grows with each
	// observation, so that old lessons fade.
	Drift float64
}

// LogLatencyPriors returns the priors for learning the logarithm of a latency over
// its objective.
func LogLatencyPriors() Priors {
	return Priors{
		Intercept:      Prior{Mean: -0.7, Variance: 1.0},
		OwnUtilization: Prior{Mean: 0.2, Variance: 0.5},
		AnyBatch:       Prior{Mean: 0.3, Variance: 0.25},
		BatchClass:     Prior{Mean: 0, Variance: 2.0},
		Drift:          2e-5,
	}
}
