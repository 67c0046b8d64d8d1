package interference

import "math"

// regression is a recursive Bayesian linear regression: a Kalman filter over
// weights that drift slowly.
type regression struct {
	size int
	mean []float64
	// covariance is a size by size matrix in row-major order.
	covariance []float64
	// prior holds the prior variances of the weights.
	prior []float64
	// gain is the last result of computeGain, kept to reuse its memory.
	gain []float64
	// noise is the variance of an observation, estimated from the residuals.
	noise float64
	// drift is the growth per observation of the variances of the weights
	// involved.
	drift float64
}

const (
	initialNoise = 0.05
	minNoise     = 0.01
	maxNoise     = 1.0
	// noiseRate is the weight of the newest residual in noise.
	noiseRate = 0.02
	// correlatedReports is the number of consecutive reports that carry as much
	// information as one independent report; their measurement windows
	// overlap.
	correlatedReports = 4.0
	// maxDeviations bounds the residual of an observation, in deviations, to
	// limit the influence of outliers.
	maxDeviations = 3.0
)

func newRegression(means, variances []float64, drift float64) *regression {
	size := len(means)
	r := &regression{size: size, noise: initialNoise, drift: drift}
	r.mean = append([]float64(nil), means...)
	r.prior = append([]float64(nil), variances...)
	r.covariance = make([]float64, size*size)
	r.gain = make([]float64, size)
	for i := range size {
		r.covariance[i*size+i] = variances[i]
	}
	return r
}

// reset sets a weight to a prior mean and variance, and clears its covariances.
func (r *regression) reset(index int, mean, variance float64) {
	for i := range r.size {
		r.covariance[index*r.size+i] = 0
		r.covariance[i*r.size+index] = 0
	}
	r.covariance[index*r.size+index] = variance
	r.prior[index] = variance
	r.mean[index] = mean
}

// variance returns the variance of the prediction for v, without noise.
func (r *regression) variance(v vector) float64 {
	sum := 0.0
	for _, a := range v {
		row := r.covariance[a.index*r.size:]
		for _, b := range v {
			sum += a.value * b.value * row[b.index]
		}
	}
	return max(sum, 0)
}

// learn updates the weights with an observation whose variance is extraVariance
// plus the noise of reports.
func (r *regression) learn(v vector, observed, extraVariance float64) {
	r.addDrift(v)
	variance := r.variance(v)
	noise := r.noise * correlatedReports
	total := variance + noise + extraVariance
	residual := observed - v.dot(r.mean)
	limit := maxDeviations * math.Sqrt(total)
	residual = min(max(residual, -limit), limit)
	r.computeGain(v)
	for i, g := range r.gain {
		r.mean[i] += g / total * residual
	}
	r.reduceCovariance(total)
	squared := max(residual*residual-extraVariance, 0)
	r.noise += noiseRate * (squared - r.noise)
	r.noise = min(max(r.noise, minNoise), maxNoise)
}

// addDrift adds drift to the variances of the weights in v, up to their prior
// variances.
func (r *regression) addDrift(v vector) {
	for _, e := range v {
		index := e.index*r.size + e.index
		r.covariance[index] = max(r.covariance[index], min(r.covariance[index]+r.drift, r.prior[e.index]))
	}
}

// computeGain sets gain to the product of covariance and v.
func (r *regression) computeGain(v vector) {
	for i := range r.gain {
		row := r.covariance[i*r.size:]
		sum := 0.0
		for _, e := range v {
			sum += row[e.index] * e.value
		}
		r.gain[i] = sum
	}
}

// reduceCovariance subtracts the information of an observation with the given
// total variance from covariance.
func (r *regression) reduceCovariance(total float64) {
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
