package demo

import (
	"io"
	"log/slog"
	"time"
)

// Options configures a run.
type Options struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	// Seed seeds random arrivals, sizes and choices.
	Seed uint64
	// Progress receives lines about the progress of the run; nil for none.
	Progress io.Writer
	// Log receives the entry hosts' events.
	Log *slog.Logger
}
