package dispatch

// StopCause is why a run is stopped.
type StopCause uint8

// The causes of a stop.
const (
	// JobEnded: its job is complete, failed or cancelled.
	JobEnded StopCause = iota
	// TaskDone: another run of its task has finished.
	TaskDone
	// TailTooLong: it interferes with serving tasks on its worker.
	TailTooLong
	// Preempted: a queue of higher priority needs the capacity.
	Preempted
	// WorkerDraining: its worker is draining.
	WorkerDraining
	// Duplicate: another run of its task is alive.
	Duplicate
	// UnknownTask: its task isn't known.
	UnknownTask
	// SlowWorker: its worker is slow, and it ends or serves sooner elsewhere.
	SlowWorker
	// Reclaimed: a queue below its guaranteed share needs the capacity.
	Reclaimed
	// GangIncomplete: another member of its gang wasn't started.
	GangIncomplete
	stopCauseCount
)

// stopCauseNames holds the names of the causes in logs, in the order of the
// constants. They stay as they are when a constant is renamed.
var stopCauseNames = [stopCauseCount]string{
	"job over", "task done", "tail too long", "preempted", "worker leaves", "duplicate", "no such task",
	"slow worker", "reclaimed", "gang incomplete",
}

// String returns the cause as it appears in logs.
func (c StopCause) String() string {
	if c < stopCauseCount {
		return stopCauseNames[c]
	}
	return "unknown"
}
