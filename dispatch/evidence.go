package dispatch

import (
	"log/slog"
	"time"
)

// WorkerSnapshot is what was known of a worker when an order was decided, for the
// log: it says what the decision went by, and how old that was.
type WorkerSnapshot struct {
	// FreeMilliCPU is what no run had reserved.
	FreeMilliCPU int64
	// Serving and Fillers count runs that serve users and that fill.
	Serving, BestEffort int
	// MinSlack is the least target over tail of those that serve, 0 if none
	// was reported.
	MinSlack float64
	// ReportAge is the age of the worker's last report.
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

// evidence returns what is known of a worker now.
func (w *worker) evidence(now time.Time) WorkerSnapshot {
	e := WorkerSnapshot{FreeMilliCPU: w.free.MilliCPU, ReportAge: now.Sub(w.answersAt)}
	e.Serving, e.BestEffort = w.tally.serving, w.tally.fillers
	for _, r := range w.inOrder {
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
