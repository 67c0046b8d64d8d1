package placement

import (
	"math/bits"

	"github.com/fireflygate/fireflygate/task"
)

// walk iterates over the rows of a grid whose nodes may have enough free
// resources.
type walk struct {
	grid *grid
	// cpu and memory are the lowest levels that may fit.
	cpu    int
	memory int
	// start is the first row, step is 1 or -1, left counts the remaining rows.
	start int
	step  int
	left  int
	row   int
}

// newWalk returns a walk over the rows that may fit, from the tightest up.
func newWalk(q *request, g *grid) walk {
	need := q.size.MilliCPU + q.headroom(g.minMilliCPU)
	w := walk{grid: g, cpu: level(need), memory: level(q.size.MemoryMB)}
	w.start, w.step, w.left = w.cpu, 1, levels-w.cpu
	return w
}

// inPreferredOrder begins with the tightest row for batch jobs and with the
// emptiest for latency-critical ones.
func (w walk) inPreferredOrder(q *request) walk {
	if q.spec.QoS == task.LatencyCritical {
		return w.descending()
	}
	return w
}

// descending begins with the emptiest row.
func (w walk) descending() walk {
	w.start, w.step = levels-1, -1
	return w
}

// rotated begins offset rows above the tightest and wraps around.
func (w walk) rotated(offset int) walk {
	w.start = w.cpu + offset
	return w
}

// first returns the first row with nodes, or -1.
func (w *walk) first() int {
	w.row = w.start
	return w.seek()
}

// next returns the next row with nodes, or -1.
func (w *walk) next() int {
	w.advance()
	return w.seek()
}

func (w *walk) seek() int {
	for w.left > 0 {
		if w.cellsOf(w.row) != 0 {
			return w.row
		}
		w.advance()
	}
	return -1
}

func (w *walk) advance() {
	w.left--
	w.row += w.step
	if w.row >= levels {
		w.row = w.cpu
	}
}

// cellsOf returns a bit for each cell of the row that may fit.
func (w *walk) cellsOf(row int) uint64 {
	return w.grid.used[row] &^ (1<<w.memory - 1)
}

// nodesAt returns the nodes of the row's lowest cell marked in cells.
func (g *grid) nodesAt(row int, cells uint64) []*node {
	return g.rows[row][bits.TrailingZeros64(cells)].nodes
}
