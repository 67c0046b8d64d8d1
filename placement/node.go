package placement

import (
	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// node is a host with its runs and reservations.
type node struct {
	host Host
	// reserved is the sum of the reservations of runs.
	reserved infra.Resources
	// criticalRuns counts the latency-critical runs, which reserve
	// criticalMilliCPU.
	criticalRuns     int
	criticalMilliCPU int64
	// held is reserved for urgent jobs whose victims haven't been released
	// yet.
	held infra.Resources
	runs []*run
	// nominees are the urgent jobs that held is reserved for.
	nominees []*pending
	// departures are the batch runs that ended within the lag.
	departures []departure
	// monitor tracks the latency-critical classes; nil if none has reported.
	monitor *eviction.HostMonitor
	// watched is set while the node is in Scheduler.watched.
	watched bool
	// worst is the class with the largest ratio of latency to objective in the
	// last report.
	worst string
	// trial is the last trial of a pair with an uncertain estimate.
	trial interference.Trial
	// cooldowns are the classes that were recently evicted from the node.
	cooldowns []cooldown
	// position is the index in Scheduler.order.
	position int
	// cell and slot locate the node in the index; cell is nil if it isn't
	// indexed.
	cell *cell
	slot int
	// grid, levelCPU and levelMemory identify the cell within the index.
	grid        *grid
	levelCPU    uint8
	levelMemory uint8
}

// free returns what is neither reserved nor held; it may be negative after
// Adopt.
func (n *node) free() infra.Resources {
	return n.host.Capacity.Sub(n.reserved).Sub(n.held)
}

func (n *node) add(r *run) {
	r.node = n
	n.runs = append(n.runs, r)
	n.reserved = n.reserved.Add(r.size)
	n.countCritical(r, 1)
}

// countCritical updates the totals of latency-critical runs.
func (n *node) countCritical(r *run, by int) {
	if r.spec.QoS == task.LatencyCritical {
		n.criticalRuns += by
		n.criticalMilliCPU += int64(by) * r.size.MilliCPU
	}
}

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
	panic("placement: no such run on its host: " + r.spec.ID)
}
