package task

// State is the state of a job.
type State uint8

// The states of a job. Done, Cancelled and Parked are terminal, except that a
// parked job may still be cancelled.
const (
	// Pending: waiting to be placed.
	Pending State = iota
	// Starting: the start is durable but not confirmed by the worker.
	Starting
	// Running: the worker has reported the run.
	Running
	// Stopping: cancelled while a run may exist; waiting for its end.
	Stopping
	// Done: completed its work.
	Done
	// Cancelled: ended on request.
	Cancelled
	// Parked: failed on too many workers, was killed too often, or fits no
	// host.
	Parked
)

// String returns the state's name in logs and JSON.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Starting:
		return "starting"
	case Running:
		return "running"
	case Stopping:
		return "stopping"
	case Done:
		return "done"
	case Cancelled:
		return "cancelled"
	case Parked:
		return "parked"
	default:
		return "invalid"
	}
}

// Terminal reports whether the job never runs again.
func (s State) Terminal() bool { return s == Done || s == Cancelled || s == Parked }

// Active reports whether a run of the record's epoch may exist on its worker.
func (s State) Active() bool { return s == Starting || s == Running || s == Stopping }
