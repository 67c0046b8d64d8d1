package interference

// Prior is the prior distribution of a weight.
type Prior struct{ Mean, Variance float64 }

// Priors holds the priors of a class's weights. A weight is what its feature adds to
// the estimate where the feature is 1.
type Priors struct {
	// Intercept is constant. OwnUtilization applies to a class that uses all
	// of its reservation.
	Intercept, OwnUtilization Prior
	// AnyBatch is common to all batch classes, BatchClass is added for each
	// one. Both apply to a class that uses a whole host.
	AnyBatch, BatchClass Prior
	// Drift is the growth per observation of the variances of the weights
	// involved, so that older observations lose influence.
	Drift float64
}

// LogLatencyPriors returns the priors for the logarithm of the ratio of a
// latency to its objective.
func LogLatencyPriors() Priors {
	return Priors{
		Intercept:      Prior{Mean: -0.7, Variance: 1.0},
		OwnUtilization: Prior{Mean: 0.2, Variance: 0.5},
		AnyBatch:       Prior{Mean: 0.3, Variance: 0.25},
		BatchClass:     Prior{Mean: 0, Variance: 2.0},
		Drift:          2e-5,
	}
}
