package dispatch

// StopCause says why a run is stopped.
type StopCause uint8

// The causes of a stop.
const (
	// JobEnded: its job is complete, failed or cancelled.
	JobEnded StopCause = iota
	// TaskDone: another run of its task has finished.
	TaskDone
	// TailTooLong: it disturbs those who serve at its worker.
	TailTooLong
	// Preempted: a queue that comes first needs the room.
	Preempted
	// WorkerDraining: its worker is draining.
	WorkerDraining
	// Duplicate: another run of its task is at work.
	Duplicate
	// UnknownTask: nothing is known of its task.
	UnknownTask
	stopCauses
)

// stopCauseNames are the causes as logs show them.
var stopCauseNames = [stopCauses]string{
	"job over", "task done", "tail too long", "preempted", "worker leaves", "duplicate", "no such task",
}

// String returns the cause as logs show it.
func (c StopCause) String() string {
	if c < stopCauses {
		return stopCauseNames[c]
	}
	return "unknown"
}
