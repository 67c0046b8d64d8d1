package placement

import (
	"math/bits"
	"slices"
)

const (
	// levels is the number of index levels for free processors and for free
	// memory: four per doubling.
	levels = 64
	// levelUnit is the width of the lowest level, in thousandths of a core or
	// in megabytes.
	levelUnit = 64
)

// cell holds the nodes with the same levels of free processors and memory.
type cell struct {
	nodes []*node
}

// grid indexes the schedulable nodes of one zone by free resources.
type grid struct {
	zone        string
	accelerated bool
	// rows are allocated on first use, since most levels never occur.
	rows [levels]*[levels]cell
	// used has, per processor level, a bit for each memory level with nodes.
	used [levels]uint64
	// minMilliCPU is a lower bound of the nodes' processor capacity.
	minMilliCPU int64
	nodes       int
}

// index finds nodes with enough free resources without examining each node.
type index struct {
	// grids is sorted by zone; within a zone the grid without accelerators
	// comes first.
	grids []*grid
}

// level returns the index level of a free amount. It is monotonic.
func level(free int64) int {
	if free < levelUnit {
		return 0
	}
	units := uint64(free) / levelUnit
	doubling := bits.Len64(units) - 1
	quarter := 0
	if doubling >= 2 {
		quarter = int(units>>(doubling-2)) & 3
	}
	return min(1+doubling*4+quarter, levels-1)
}

// grid returns the grid for a host, creating it if needed.
func (x *index) grid(h Host) *grid {
	accelerated := h.Capacity.Accelerators > 0
	at, found := slices.BinarySearchFunc(x.grids, h, func(g *grid, h Host) int {
		if g.zone != h.Zone {
			if g.zone < h.Zone {
				return -1
			}
			return 1
		}
		return compareBool(g.accelerated, accelerated)
	})
	if !found {
		g := &grid{zone: h.Zone, accelerated: accelerated, minMilliCPU: h.Capacity.MilliCPU}
		x.grids = slices.Insert(x.grids, at, g)
	}
	return x.grids[at]
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// update moves a node to the cell of its free resources, or removes it if it
// is unschedulable.
func (x *index) update(n *node) {
	if n.host.Unschedulable != "" {
		x.remove(n)
		return
	}
	g := x.grid(n.host)
	g.minMilliCPU = min(g.minMilliCPU, n.host.Capacity.MilliCPU)
	free := n.free()
	c, m := level(free.MilliCPU), level(free.MemoryMB)
	target := g.cell(c, m)
	if n.cell == target {
		return
	}
	x.remove(n)
	n.cell, n.slot = target, len(target.nodes)
	target.nodes = append(target.nodes, n)
	n.grid, n.levelCPU, n.levelMemory = g, uint8(c), uint8(m)
	g.used[c] |= 1 << m
	g.nodes++
}

// cell returns the cell of two levels, allocating its row if needed.
func (g *grid) cell(c, m int) *cell {
	if g.rows[c] == nil {
		g.rows[c] = new([levels]cell)
	}
	return &g.rows[c][m]
}

// remove removes a node, if it is indexed.
func (x *index) remove(n *node) {
	if n.cell == nil {
		return
	}
	nodes := n.cell.nodes
	last := len(nodes) - 1
	nodes[n.slot] = nodes[last]
	nodes[n.slot].slot = n.slot
	nodes[last] = nil
	n.cell.nodes = nodes[:last]
	if last == 0 {
		n.grid.used[n.levelCPU] &^= 1 << n.levelMemory
	}
	n.grid.nodes--
	n.cell, n.grid = nil, nil
}
