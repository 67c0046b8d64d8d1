package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// WorkTime is a log-normal distribution of the time of work.
type WorkTime struct {
	// MedianMS is its median in milliseconds.
	MedianMS float64 `json:"median_ms" toml:"median_ms"`
	// Sigma is its shape; 0 is a constant time.
	Sigma float64 `json:"sigma" toml:"sigma"`
	// Seed seeds the draws.
	Seed uint64 `json:"seed" toml:"seed"`
}

// draw returns one time.
func (w WorkTime) draw(random *rand.Rand) time.Duration {
	ms := w.MedianMS * math.Exp(w.Sigma*random.NormFloat64())
	return time.Duration(ms * float64(time.Millisecond))
}
