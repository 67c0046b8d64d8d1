package placement

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// request is what a pending job asks of a host, with sizes as estimated now.
type request struct {
	spec task.Spec
	size infra.Resources
	// reserve is the share of processors that batch must leave free.
	reserve float64
	avoid   map[string]bool
	// due is set when there is little slack until the job must start.
	due bool
	// own is what the node nominated holds for this job.
	nominated *node
	own       infra.Resources
	// mostGathered is how many of its class may be gathered on one host.
	mostGathered int
}

// filter asks the filters in their order.
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

// filterResources is the hard limit: reservations never exceed capacity.
func (q *request) filterResources(n *node) Status {
	free := n.free()
	if n == q.nominated {
		free = free.Add(q.own)
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

// headroom is what the job must leave free on a host with capacity.
func (q *request) headroom(capacity int64) int64 {
	if q.spec.QoS == task.LatencyCritical {
		return 0
	}
	return int64(float64(capacity) * q.reserve)
}

// zoneFits reports whether zones, empty for any, allows zone.
func zoneFits(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}
