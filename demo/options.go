package demo

import (
	"io"
	"log/slog"
	"time"
)

// Options is what to run.
type Options struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	// Seed makes arrivals, sizes and choices of callers repeatable.
	Seed uint64
	// Progress takes a line now and then; nil for none.
	Progress io.Writer
	// Log takes the entry hosts' events.
	Log *slog.Logger
}
