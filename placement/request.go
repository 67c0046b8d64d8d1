package placement

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// request holds the requirements of a pending job with current estimates.
type request struct {
	spec task.Spec
	size infra.Resources
	// headroomShare is the share of a host's processors that a batch job must
	// leave free.
	headroomShare float64
	avoid         map[string]bool
	// dueSoon is set if the job's latest start is near.
	dueSoon bool
	// reserved is held for this job on the nominated node.
	nominated *node
	reserved  infra.Resources
	// maxConsolidated is how many instances of the job's class may be
	// consolidated on one host.
	maxConsolidated int
}

// filter applies the filters in the order of Status.
func (q *request) filter(n *node) Status {
	switch {
	case n.host.Unschedulable != "":
		return RejectedUnschedulable
	case !zoneFits(q.spec.Zones, n.host.Zone):
		return RejectedZone
	case q.avoid[n.host.Name]:
		return RejectedAvoided
	}
	return q.filterResources(n)
}

// filterResources enforces that reservations never exceed capacity.
func (q *request) filterResources(n *node) Status {
	free := n.free()
	if n == q.nominated {
		free = free.Add(q.reserved)
	}
	switch {
	case q.size.Accelerators > free.Accelerators:
		return RejectedAccelerators
	case q.size.MemoryMB > free.MemoryMB:
		return RejectedMemory
	case q.size.MilliCPU > free.MilliCPU-q.headroom(n.host.Capacity.MilliCPU):
		return RejectedCPU
	default:
		return Feasible
	}
}

// headroom returns the processors that the job must leave free on a host with
// the given capacity, in thousandths of a core.
func (q *request) headroom(capacity int64) int64 {
	if q.spec.QoS == task.LatencyCritical {
		return 0
	}
	return int64(float64(capacity) * q.headroomShare)
}

// zoneFits reports whether zones allows zone; no zones allow any.
func zoneFits(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}
