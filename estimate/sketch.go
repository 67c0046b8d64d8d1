package estimate

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// permille is the unit of recorded ratios; 1000 means equal to the
	// declared value.
	permille = 1000
	// maxRatio is the largest recorded ratio, in permille.
	maxRatio = 64 * permille
	// windowSamples is the number of samples in each half of the window.
	windowSamples = 128
)

// sketch estimates a quantile over the last windowSamples to 2*windowSamples
// samples. Older samples are dropped by halves of the window, so that the
// estimate follows changes.
type sketch struct {
	recent   *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	scratch  *hdrhistogram.Histogram
	quantile float64
	cached   int64
	dirty    bool
}

func newSketch(quantile float64) *sketch {
	s := &sketch{quantile: quantile}
	s.recent = hdrhistogram.New(1, maxRatio, 1)
	s.previous = hdrhistogram.New(1, maxRatio, 1)
	s.scratch = hdrhistogram.New(1, maxRatio, 1)
	return s
}

// record adds a ratio in permille, clamped to 1 to maxRatio.
func (s *sketch) record(ratio int64) {
	clamped := min(max(ratio, 1), maxRatio)
	if err := s.recent.RecordValue(clamped); err != nil {
		panic("estimate: clamped ratio out of range: " + err.Error())
	}
	s.dirty = true
	if s.recent.TotalCount() < windowSamples {
		return
	}
	s.recent, s.previous = s.previous, s.recent
	s.recent.Reset()
}

// samples returns the number of samples in the window.
func (s *sketch) samples() int64 {
	return s.recent.TotalCount() + s.previous.TotalCount()
}

// value returns the quantile in permille; 0 without samples.
func (s *sketch) value() int64 {
	if !s.dirty {
		return s.cached
	}
	s.scratch.Reset()
	s.scratch.Merge(s.recent)
	s.scratch.Merge(s.previous)
	s.cached = s.scratch.ValueAtQuantile(s.quantile)
	s.dirty = false
	return s.cached
}
