package workload

// State is the state of a job as reported to callers.
type State uint8

// The states of a job. The last three are final.
const (
	Queued State = iota
	InProgress
	Complete
	Failed
	Cancelled
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s >= Complete }

// String returns the state's name in logs.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case InProgress:
		return "in progress"
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	default:
		return "unknown"
	}
}
