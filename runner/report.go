package runner

import (
	"log/slog"

	"github.com/fireflygate/fireflygate/workload"
)

// EndKind is the way in which a run ended.
type EndKind uint8

// The ways in which runs end.
const (
	// EndUnknown: a kind that this version doesn't know. The run's work is
	// treated as lost.
	EndUnknown EndKind = iota
	// EndDone: the run completed its work.
	EndDone
	// EndFailed: the run failed by itself or because of its worker.
	EndFailed
	// EndStopped: the run was stopped by an order.
	EndStopped
	// EndExpired: the worker's lease expired.
	EndExpired
	// EndGangBroken: another member of the gang ended.
	EndGangBroken
	// EndGangTimeout: other members of the gang didn't start in time.
	EndGangTimeout
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "expired", "broken", "alone"}

// String returns the kind's name in logs.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return endNames[EndUnknown]
}

// ActiveRun is the report on a run that hasn't ended.
type ActiveRun struct {
	Task workload.TaskID
	Run  uint64
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress of the run. A long-running task is ready to
	// serve at 100.
	Percent int
	// Usage covers the last half second: the tail latency in milliseconds for
	// a serving task, the CPU usage in thousandths of a core for others.
	Usage int64
}

// RunEnd is the report on a run that has ended.
type RunEnd struct {
	// Number counts the ends of one incarnation of a worker, from 1.
	Number uint64
	Task   workload.TaskID
	Run    uint64
	Kind   EndKind
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	// ClockMS is the worker's monotonic clock in milliseconds.
	ClockMS int64
	Active  []ActiveRun
	// Ends are those not yet acknowledged, oldest first, at most MaxEnds.
	Ends []RunEnd
}

// MaxEnds is the largest number of ends in one report, as set by the worker
// protocol.
const MaxEnds = 500

// LogValue implements slog.LogValuer.
func (k EndKind) LogValue() slog.Value { return slog.StringValue(k.String()) }
