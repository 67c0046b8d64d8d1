package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// shares holds shares of a host's processors by class. Hosts run few classes,
// so searching a slice is faster than a map.
type shares []interference.Share

// add adds part to the share of the class, in place if the class is present.
func (l shares) add(class string, part float64) shares {
	for i := range l {
		if l[i].Class == class {
			l[i].CPUShare += part
			return l
		}
	}
	return append(l, interference.Share{Class: class, CPUShare: part})
}

// currentBatch returns the current batch load of a node. The result is valid
// until the next call of currentBatch or batchAt, which reuse its memory.
func (s *Scheduler) currentBatch(n *node) shares {
	load := shares(s.loadBuffer[:0])
	for _, r := range n.runs {
		if r.spec.QoS != task.LatencyCritical {
			load = load.add(r.spec.Class, n.cpuShare(r.milliCPU()))
		}
	}
	s.loadBuffer = load
	return load
}

// batchAt returns the batch load of a node at a time within the lag. Like
// currentBatch, it reuses the memory of the last result.
func (s *Scheduler) batchAt(n *node, when time.Time) shares {
	load := shares(s.loadBuffer[:0])
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.started.After(when) {
			continue
		}
		milliCPU := r.fullMilliCPU() * int64(r.cpuLimitAt(when)) / fullCPU
		load = load.add(r.spec.Class, n.cpuShare(milliCPU))
	}
	for _, d := range n.departures {
		if !d.from.After(when) && when.Before(d.until) {
			load = load.add(d.class, n.cpuShare(d.milliCPU))
		}
	}
	s.loadBuffer = load
	return load
}

// ownUtilization returns the usage of a latency-critical class on a node as a
// share of its reservation.
func (n *node) ownUtilization(class string) float64 {
	var used, reserved int64
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical && r.spec.Class == class {
			used += r.milliCPU()
			reserved += r.size.MilliCPU
		}
	}
	return ratio(used, reserved)
}

// cpuShare returns an amount of processors as a share of the host's.
func (n *node) cpuShare(milliCPU int64) float64 {
	return ratio(milliCPU, n.host.Capacity.MilliCPU)
}
