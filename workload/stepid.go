package workload

import (
	"fmt"
	"log/slog"
)

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the ID as job.occurrence.step.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// LogValue implements slog.LogValuer.
func (s StepID) LogValue() slog.Value { return slog.StringValue(s.String()) }
