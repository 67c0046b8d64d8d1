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
func (e WorkerSnapshot) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Int64("free_milli_cpu", e.FreeMilliCPU), slog.Int64("report_age_ms", e.ReportAge.Milliseconds()),
	}
	if e.Serving > 0 {
		attrs = append(attrs, slog.Int("serving", e.Serving), slog.Float64("least_slack", e.MinSlack))
	}
	if e.BestEffort > 0 {
		attrs = append(attrs, slog.Int("fillers", e.BestEffort))
	}
	return slog.GroupValue(attrs...)
}

func (w *worker) snapshot(now time.Time) WorkerSnapshot {
	e := WorkerSnapshot{FreeMilliCPU: w.free.MilliCPU, ReportAge: now.Sub(w.polledAt)}
	e.Serving, e.BestEffort = w.counts.serving, w.counts.bestEffort
	for _, r := range w.runsByNumber {
		target := r.task.step.spec.TailTarget
		if target <= 0 || r.percent < 100 || r.usage <= 0 {
			continue
		}
		slack := float64(target.Milliseconds()) / float64(r.usage)
		if e.MinSlack == 0 || slack < e.MinSlack {
			e.MinSlack = slack
		}
	}
	return e
}
