package task

// State is where a job stands in its life.
type State uint8

// The states. Done, Cancelled and Parked are terminal, but that a parked job
// may still be cancelled.
const (
	// Pending: waiting to be placed.
	Pending State = iota
	// Starting: the start is durable, the worker has not confirmed it.
	Starting
	// Running: the worker reported the run.
	Running
	// Stopping: cancelled while a run may exist; waiting for its end.
	Stopping
	// Done: finished its work.
	Done
	// Cancelled: ended on request.
	Cancelled
	// Parked: failed on too many distinct workers.
	Parked
)

// String returns the state as it is written in logs and JSON.
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

// Terminal reports whether nothing more happens to the job by itself.
func (s State) Terminal() bool { return s == Done || s == Cancelled || s == Parked }

// Active reports whether a run of the job's epoch may exist on its worker.
func (s State) Active() bool { return s == Starting || s == Running || s == Stopping }
