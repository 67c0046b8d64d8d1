package placement

// Status says whether a filter lets a host through, and if not which filter
// turned it down. It is a value: a host that does not fit is no error.
type Status uint8

// The results of the filters, in the order in which they are asked.
const (
	Feasible Status = iota
	RejectedUnschedulable
	RejectedZone
	RejectedAvoided
	RejectedAccelerators
	RejectedMemory
	RejectedCPU
	statuses
)

// String returns the status for people.
func (s Status) String() string {
	switch s {
	case Feasible:
		return "feasible"
	case RejectedUnschedulable:
		return "unschedulable"
	case RejectedZone:
		return "other zone"
	case RejectedAvoided:
		return "failed there before"
	case RejectedAccelerators:
		return "too few accelerators"
	case RejectedMemory:
		return "too little memory"
	default:
		return "too little processor time"
	}
}
