package interference

import "math"

// regression is a Bayesian linear regression, updated by one observation at a
// time: the mean and covariance of each weight, as in a Kalman filter whose
// weights drift slowly.
type regression struct {
	size int
	mean []float64
	// covariance is size by size, row by row.
	covariance []float64
	prior      []float64
	gain       []float64
	// noise is the variance of an observation, learned from the residuals.
	noise float64
	// drift is what the variance of a weight in use grows by.
	drift float64
}

const (
	firstNoise = 0.05
	leastNoise = 0.01
	mostNoise  = 1.0
	// noiseRate is how fast noise follows the residuals.
	noiseRate = 0.02
	// correlated is how many consecutive reports say as much as one: a
	// tail latency covers a window longer than the interval of reports.
	correlated = 4.0
	// outlier is how many deviations an observation counts for at most.
	outlier = 3.0
)

func newRegression(means, variances []float64, drift float64) *regression {
	size := len(means)
	r := &regression{size: size, noise: firstNoise, drift: drift}
	r.mean = append([]float64(nil), means...)
	r.prior = append([]float64(nil), variances...)
	r.covariance = make([]float64, size*size)
	r.gain = make([]float64, size)
	for i := range size {
		r.covariance[i*size+i] = variances[i]
	}
	return r
}

// forget resets one weight to a prior.
func (r *regression) forget(at int, mean, variance float64) {
	for i := range r.size {
		r.covariance[at*r.size+i] = 0
		r.covariance[i*r.size+at] = 0
	}
	r.covariance[at*r.size+at] = variance
	r.prior[at] = variance
	r.mean[at] = mean
}

// variance is the uncertainty of the prediction for v, without noise.
func (r *regression) variance(v vector) float64 {
	sum := 0.0
	for _, a := range v {
		row := r.covariance[a.at*r.size:]
		for _, b := range v {
			sum += a.value * b.value * row[b.at]
		}
	}
	return max(sum, 0)
}

// learn takes in one observation; extra is a variance that it has besides the
// noise of reports.
func (r *regression) learn(v vector, observed, extra float64) {
	r.spread(v)
	variance := r.variance(v)
	noise := r.noise * correlated
	total := variance + noise + extra
	residual := observed - v.dot(r.mean)
	limit := outlier * math.Sqrt(total)
	residual = min(max(residual, -limit), limit)
	r.multiply(v)
	for i, g := range r.gain {
		r.mean[i] += g / total * residual
	}
	r.shrink(total)
	squared := max(residual*residual-extra, 0)
	r.noise += noiseRate * (squared - r.noise)
	r.noise = min(max(r.noise, leastNoise), mostNoise)
}

// spread lets the weights in use drift, up to their prior variance.
func (r *regression) spread(v vector) {
	for _, e := range v {
		at := e.at*r.size + e.at
		r.covariance[at] = max(r.covariance[at], min(r.covariance[at]+r.drift, r.prior[e.at]))
	}
}

// multiply sets gain to covariance times v.
func (r *regression) multiply(v vector) {
	for i := range r.gain {
		row := r.covariance[i*r.size:]
		sum := 0.0
		for _, e := range v {
			sum += row[e.at] * e.value
		}
		r.gain[i] = sum
	}
}

// shrink takes what was learned off the covariance.
func (r *regression) shrink(total float64) {
	for i, a := range r.gain {
		if a == 0 {
			continue
		}
		row := r.covariance[i*r.size:]
		for j, b := range r.gain {
			row[j] -= a * b / total
		}
	}
}
