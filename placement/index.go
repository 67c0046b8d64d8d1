package placement

import (
	"math/bits"
	"slices"
)

const (
	// levels is how many sizes of free processors and of free memory the
	// index tells apart: four to a doubling.
	levels = 64
	// levelUnit is the smallest amount told apart, in thousandths of a core
	// or in megabytes.
	levelUnit = 64
)

// cell holds the nodes whose free processors and memory are of one level.
type cell struct {
	nodes []*node
}

// grid indexes the schedulable nodes of one zone by what they have free.
type grid struct {
	zone        string
	accelerated bool
	// rows are made when first used: most sizes are never seen.
	rows [levels]*[levels]cell
	// used marks in each processor level the memory levels with nodes.
	used [levels]uint64
	// leastCPU is the smallest processor capacity that was ever indexed, so
	// a lower bound of any node's.
	leastCPU int64
	nodes    int
}

// index finds nodes with enough free without a look at each node.
type index struct {
	// grids is in the order of zones, plain before accelerated.
	grids []*grid
}

// level returns the index level of a free amount; it rises with the amount.
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

// grid returns the grid of a kind of host and makes it if need be.
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
		g := &grid{zone: h.Zone, accelerated: accelerated, leastCPU: h.Capacity.MilliCPU}
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

// update puts a node where its free resources belong, or takes it out when it
// is unschedulable.
func (x *index) update(n *node) {
	if n.host.Unschedulable != "" {
		x.remove(n)
		return
	}
	g := x.grid(n.host)
	g.leastCPU = min(g.leastCPU, n.host.Capacity.MilliCPU)
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

// cell returns the cell of two levels and makes its row if need be.
func (g *grid) cell(c, m int) *cell {
	if g.rows[c] == nil {
		g.rows[c] = new([levels]cell)
	}
	return &g.rows[c][m]
}

// remove takes a node out; nothing happens if it is not in.
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
