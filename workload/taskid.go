package workload

import (
	"fmt"
	"log/slog"
)

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID as job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// LogValue implements slog.LogValuer.
func (t TaskID) LogValue() slog.Value { return slog.StringValue(t.String()) }
