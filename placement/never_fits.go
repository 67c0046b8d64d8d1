package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// NeverFits reports whether no known host can ever hold the job, even empty,
// with the nearest host and what lacks. Without any known host it reports
// false, since nothing is known yet.
func (s *Scheduler) NeverFits(spec task.Spec) (reason string, never bool) {
	if len(s.shapes.hosts) == 0 {
		return "", false
	}
	q := request{spec: spec, size: s.sizes.Size(spec), reserve: s.options.Headroom}
	var nearest shape
	least := 0.0
	found := false
	for _, kind := range s.shapes.sorted() {
		if !zoneFits(spec.Zones, kind.zone) {
			continue
		}
		lack := q.lack(kind.capacity)
		if lack == (infra.Resources{}) {
			return "", false
		}
		distance := shortfall(lack, q.size)
		if !found || distance < least {
			nearest, least, found = kind, distance, true
		}
	}
	if !found {
		return "no host is in " + strings.Join(spec.Zones, ", "), true
	}
	return fmt.Sprintf("never fits: the nearest host, %s, lacks %s",
		s.example(nearest), lackText(q.lack(nearest.capacity))), true
}

// lack is what an empty host of a capacity is short of, in each resource.
func (q *request) lack(capacity infra.Resources) infra.Resources {
	usable := capacity
	usable.MilliCPU -= q.headroom(capacity.MilliCPU)
	return larger(q.size.Sub(usable), infra.Resources{})
}

// shortfall sums what lacks as shares of what is asked for.
func shortfall(lack, asked infra.Resources) float64 {
	return ratio(lack.MilliCPU, asked.MilliCPU) +
		ratio(lack.MemoryMB, asked.MemoryMB) +
		ratio(lack.Accelerators, asked.Accelerators)
}

func lackText(lack infra.Resources) string {
	var parts []string
	if lack.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%d thousandths of a core", lack.MilliCPU))
	}
	if lack.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB of memory", lack.MemoryMB))
	}
	if lack.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", lack.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// example names a host of a shape, the first by name.
func (s *Scheduler) example(kind shape) string {
	name := ""
	for _, n := range s.order {
		same := n.host.Zone == kind.zone && n.host.Capacity == kind.capacity
		if same && (name == "" || n.host.Name < name) {
			name = n.host.Name
		}
	}
	return name
}

// sorted returns the shapes in a fixed order.
func (k *shapes) sorted() []shape {
	list := make([]shape, 0, len(k.hosts))
	for kind := range k.hosts {
		list = append(list, kind)
	}
	slices.SortFunc(list, func(a, b shape) int {
		if a.zone != b.zone {
			return strings.Compare(a.zone, b.zone)
		}
		return compareResources(a.capacity, b.capacity)
	})
	return list
}

func compareResources(a, b infra.Resources) int {
	switch {
	case a.MilliCPU != b.MilliCPU:
		return cmp.Compare(a.MilliCPU, b.MilliCPU)
	case a.MemoryMB != b.MemoryMB:
		return cmp.Compare(a.MemoryMB, b.MemoryMB)
	default:
		return cmp.Compare(a.Accelerators, b.Accelerators)
	}
}
