package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// NeverFits reports whether the job doesn't fit on any known host, even an
// empty one, and names the host that comes closest and what it lacks. It
// returns false if no host is known.
func (s *Scheduler) NeverFits(spec task.Spec) (reason string, never bool) {
	if len(s.shapes.hosts) == 0 {
		return "", false
	}
	q := request{spec: spec, size: s.estimator.Size(spec), headroomShare: s.options.Headroom}
	var nearest shape
	smallest := 0.0
	found := false
	for _, candidate := range s.shapes.sorted() {
		if !zoneFits(spec.Zones, candidate.zone) {
			continue
		}
		shortage := q.shortage(candidate.capacity)
		if shortage == (infra.Resources{}) {
			return "", false
		}
		distance := shortageRatio(shortage, q.size)
		if !found || distance < smallest {
			nearest, smallest, found = candidate, distance, true
		}
	}
	if !found {
		return "no host is in " + strings.Join(spec.Zones, ", "), true
	}
	return fmt.Sprintf("never fits: the nearest host, %s, lacks %s",
		s.exampleHost(nearest), shortageText(q.shortage(nearest.capacity))), true
}

// shortage returns what an empty host with the given capacity lacks for the
// request.
func (q *request) shortage(capacity infra.Resources) infra.Resources {
	usable := capacity
	usable.MilliCPU -= q.headroom(capacity.MilliCPU)
	return maxResources(q.size.Sub(usable), infra.Resources{})
}

// shortageRatio returns the sum of what is missing relative to what is
// requested.
func shortageRatio(missing, requested infra.Resources) float64 {
	return ratio(missing.MilliCPU, requested.MilliCPU) +
		ratio(missing.MemoryMB, requested.MemoryMB) +
		ratio(missing.Accelerators, requested.Accelerators)
}

func shortageText(missing infra.Resources) string {
	var parts []string
	if missing.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%d thousandths of a core", missing.MilliCPU))
	}
	if missing.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB of memory", missing.MemoryMB))
	}
	if missing.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", missing.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// exampleHost returns the first host of a shape by name.
func (s *Scheduler) exampleHost(kind shape) string {
	name := ""
	for _, n := range s.order {
		same := n.host.Zone == kind.zone && n.host.Capacity == kind.capacity
		if same && (name == "" || n.host.Name < name) {
			name = n.host.Name
		}
	}
	return name
}

// sorted returns the shapes in a deterministic order.
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
