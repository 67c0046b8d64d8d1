package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/task"
)

// shares adds up parts of a host's processors by class. Hosts run few
// classes, so a slice is searched faster than a map.
type shares []interference.Share

func (l shares) add(class string, part float64) shares {
	for i := range l {
		if l[i].Class == class {
			l[i].CPUShare += part
			return l
		}
	}
	return append(l, interference.Share{Class: class, CPUShare: part})
}

// batchNow is the batch load of a node as it should be now.
func (s *Scheduler) batchNow(n *node) shares {
	load := shares(s.loads[:0])
	for _, r := range n.runs {
		if r.spec.QoS != task.LatencyCritical {
			load = load.add(r.spec.Class, n.part(r.milliCPU()))
		}
	}
	s.loads = load
	return load
}

// batchAt is the batch load of a node as it was at a time within the lag.
func (s *Scheduler) batchAt(n *node, when time.Time) shares {
	load := shares(s.loads[:0])
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical || r.started.After(when) {
			continue
		}
		milliCPU := r.fullMilliCPU() * int64(r.percentAt(when)) / fullSpeed
		load = load.add(r.spec.Class, n.part(milliCPU))
	}
	for _, d := range n.departed {
		if !d.from.After(when) && when.Before(d.until) {
			load = load.add(d.class, n.part(d.milliCPU))
		}
	}
	s.loads = load
	return load
}

// self is how busy a latency-critical class is on a node, as the share used
// of what it reserves there.
func (n *node) self(class string) float64 {
	var used, reserved int64
	for _, r := range n.runs {
		if r.spec.QoS == task.LatencyCritical && r.spec.Class == class {
			used += r.milliCPU()
			reserved += r.size.MilliCPU
		}
	}
	return ratio(used, reserved)
}

// part is an amount of processors as a part of the host's.
func (n *node) part(milliCPU int64) float64 {
	return ratio(milliCPU, n.host.Capacity.MilliCPU)
}
