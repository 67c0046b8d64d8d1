package placement

import "math"

// packing prefers hosts that the job fills up, and those on which free
// processors and memory stay balanced.
func packing(q *request, n *node) float64 {
	left := n.free().Sub(q.size)
	cpu := ratio(left.MilliCPU, n.host.Capacity.MilliCPU)
	memory := ratio(left.MemoryMB, n.host.Capacity.MemoryMB)
	full := 1 - (cpu+memory)/2
	return full - math.Abs(cpu-memory)
}
