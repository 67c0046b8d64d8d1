package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflygate/fireflygate/outcome"
)

// Summary counts requests by outcome. Latencies are of answered requests, in
// milliseconds.
type Summary struct {
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	NotRun   int64   `json:"not_run"`
	Unknown  int64   `json:"unknown"`
	Skipped  int64   `json:"skipped"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p999_ms"`
	MaxMS    float64 `json:"max_ms"`
	// RefusedP99MS is the 99th percentile of the latency of requests not run.
	RefusedP99MS float64 `json:"refused_p99_ms"`
	// Reasons counts requests without an answer by outcome and reason.
	Reasons map[string]int64 `json:"reasons,omitempty"`
}

// maxLatency is the upper limit of the histograms.
const maxLatency = 10 * time.Minute

// summarizer accumulates exchanges into a Summary. It isn't safe for concurrent
// use.
type summarizer struct {
	summary  Summary
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

func newSummarizer() *summarizer {
	const digits = 3
	return &summarizer{
		summary:  Summary{Reasons: map[string]int64{}},
		answered: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		refused:  hdrhistogram.New(1, maxLatency.Microseconds(), digits),
	}
}

// add counts one exchange. Latencies above maxLatency count as maxLatency.
func (t *summarizer) add(x Exchange) {
	t.summary.Sent++
	latency := min(x.Done.Sub(x.Due), maxLatency).Microseconds()
	switch x.Outcome {
	case outcome.Answered:
		t.summary.Answered++
		_ = t.answered.RecordValue(latency)
	case outcome.NotRun:
		t.summary.NotRun++
		_ = t.refused.RecordValue(latency)
	default:
		t.summary.Unknown++
	}
	if x.Outcome != outcome.Answered {
		t.summary.Reasons[x.Outcome.String()+": "+x.Reason]++
	}
}

// result returns the summary with its quantiles.
func (t *summarizer) result() Summary {
	s := t.summary
	s.P50MS = quantile(t.answered, 50)
	s.P99MS = quantile(t.answered, 99)
	s.P999MS = quantile(t.answered, 99.9)
	s.MaxMS = float64(t.answered.Max()) / 1000
	s.RefusedP99MS = quantile(t.refused, 99)
	return s
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
