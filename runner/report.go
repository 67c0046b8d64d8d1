package runner

import (
	"log/slog"

	"github.com/fireflygate/fireflygate/workload"
)

// EndKind says how a run ended.
type EndKind uint8

// The ways in which runs end.
const (
	// EndUnknown is an end that this version doesn't know; it counts as lost.
	EndUnknown EndKind = iota
	// EndDone finished its work.
	EndDone
	// EndFailed failed through its own fault or the worker's.
	EndFailed
	// EndStopped was stopped by an order.
	EndStopped
	// EndExpired ended with its lease.
	EndExpired
	// EndGangBroken ended because another member of its gang did.
	EndGangBroken
	// EndGangTimeout waited in vain for the rest of its gang.
	EndGangTimeout
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "expired", "broken", "alone"}

// String returns the kind as logs show it.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return endNames[EndUnknown]
}

// ActiveRun is a run at work.
type ActiveRun struct {
	Task workload.TaskID
	Run  uint64
	// Checkpoint is its newest checkpoint, empty for none.
	Checkpoint string
	// Percent is how far it has come; a long-running task serves at 100.
	Percent int
	// Usage is, over the last half second, the tail of response times in
	// milliseconds for a task that serves, thousandths of a core for others.
	Usage int64
}

// RunEnd is a run that is over.
type RunEnd struct {
	// Number counts the ends of one life of a worker, from 1.
	Number uint64
	Task   workload.TaskID
	Run    uint64
	Kind   EndKind
	// Checkpoint is the newest checkpoint, empty for none.
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	// ClockMS is the worker's own steady clock.
	ClockMS int64
	Active  []ActiveRun
	// Ends that aren't acknowledged, oldest first, at most MaxEnds.
	Ends []RunEnd
}

// MaxEnds is the largest number of ends in one report, from the worker's
// protocol.
const MaxEnds = 500

// LogValue implements slog.LogValuer.
func (k EndKind) LogValue() slog.Value { return slog.StringValue(k.String()) }
