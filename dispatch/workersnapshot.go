package dispatch

import (
	"log/slog"
	"time"
)

// WorkerSnapshot is what was known of a worker when an order was decided, for
// the log.
type WorkerSnapshot struct {
	// FreeMilliCPU is the processors that no run had reserved.
	FreeMilliCPU int64
	// Serving and BestEffort count the worker's serving and best-effort runs.
	Serving, BestEffort int
	// MinSlack is the lowest ratio of target to tail among the serving runs, 0
	// if no tail was reported.
	MinSlack float64
	// ReportAge is the time since the worker's last poll ended.
	ReportAge time.Duration
}

// LogValue implements slog.LogValuer.
func (s WorkerSnapshot) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Int64("free_milli_cpu", s.FreeMilliCPU), slog.Int64("report_age_ms", s.ReportAge.Milliseconds()),
	}
	if s.Serving > 0 {
		attrs = append(attrs, slog.Int("serving", s.Serving), slog.Float64("least_slack", s.MinSlack))
	}
	if s.BestEffort > 0 {
		attrs = append(attrs, slog.Int("fillers", s.BestEffort))
	}
	return slog.GroupValue(attrs...)
}

func (w *worker) snapshot(now time.Time) WorkerSnapshot {
	s := WorkerSnapshot{FreeMilliCPU: w.free.MilliCPU, ReportAge: now.Sub(w.polledAt)}
	s.Serving, s.BestEffort = w.counts.serving, w.counts.bestEffort
	for _, r := range w.runsByNumber {
		target := r.task.step.spec.TailTarget
		if target <= 0 || r.percent < 100 || r.usage <= 0 {
			continue
		}
		slack := float64(target.Milliseconds()) / float64(r.usage)
		if s.MinSlack == 0 || slack < s.MinSlack {
			s.MinSlack = slack
		}
	}
	return s
}
