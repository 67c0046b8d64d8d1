package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// WorkTime is a log-normal distribution of processing times.
type WorkTime struct {
	// MedianMS is the median in milliseconds.
	MedianMS float64 `json:"median_ms" toml:"median_ms"`
	// Sigma is the shape parameter; 0 gives a constant time.
	Sigma float64 `json:"sigma" toml:"sigma"`
	// Seed seeds the random generator.
	Seed uint64 `json:"seed" toml:"seed"`
}

// draw returns a random processing time.
func (w WorkTime) draw(random *rand.Rand) time.Duration {
	ms := w.MedianMS * math.Exp(w.Sigma*random.NormFloat64())
	return time.Duration(ms * float64(time.Millisecond))
}
