package placement

import (
	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// node is a host with what is reserved on it.
type node struct {
	host Host
	// reserved is the sum over runs.
	reserved infra.Resources
	// criticals counts the latency-critical runs, which reserve critical of
	// the processors.
	criticals int
	critical  int64
	// held is kept for urgent jobs that wait for their victims' release.
	held infra.Resources
	runs []*run
	// nominees are the urgent jobs that held is for.
	nominees []*pending
	// departed are the batch runs that ended within the lag.
	departed []departure
	// watch follows its latency-critical classes; nil if none reported.
	watch *eviction.HostMonitor
	// watched is set while the node is in Scheduler.watched.
	watched bool
	// worst is the class with the latest worst latency over its objective.
	worst string
	// trial is when a little known pair was last tried out here.
	trial interference.Trial
	// cooling are the classes that were evicted from here lately.
	cooling []cooldown
	// position is its place in Scheduler.order.
	position int
	// cell and slot are where the index holds the node; cell is nil when it
	// is not indexed.
	cell *cell
	slot int
	// grid and the levels name the cell within the index.
	grid        *grid
	levelCPU    uint8
	levelMemory uint8
}

// free is what is neither reserved nor held; it may be negative after Adopt.
func (n *node) free() infra.Resources {
	return n.host.Capacity.Sub(n.reserved).Sub(n.held)
}

// add records a run.
func (n *node) add(r *run) {
	r.node = n
	n.runs = append(n.runs, r)
	n.reserved = n.reserved.Add(r.size)
	n.countCritical(r, 1)
}

// countCritical counts a run if it is latency-critical.
func (n *node) countCritical(r *run, by int) {
	if r.spec.QoS == task.LatencyCritical {
		n.criticals += by
		n.critical += int64(by) * r.size.MilliCPU
	}
}

// remove forgets a run.
func (n *node) remove(r *run) {
	for i, other := range n.runs {
		if other != r {
			continue
		}
		last := len(n.runs) - 1
		n.runs[i] = n.runs[last]
		n.runs[last] = nil
		n.runs = n.runs[:last]
		n.reserved = n.reserved.Sub(r.size)
		n.countCritical(r, -1)
		return
	}
	panic("placement: run not on its host: " + r.spec.ID)
}
