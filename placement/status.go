package placement

// Status is the result of filtering a host.
type Status uint8

// The results of the filters, in the order in which they are applied.
const (
	Feasible Status = iota
	RejectedUnschedulable
	RejectedZone
	RejectedAvoided
	RejectedAccelerators
	RejectedMemory
	RejectedCPU
	// statuses is the number of results.
	statuses
)

// String returns the status as shown to users.
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
