package dispatch

import "github.com/fireflygate/fireflygate/runner"

// endNumbers is the set of the numbers of a life's recorded ends. Workers number their ends
// upwards from 1 and list them in any order, at most runner.MaxEnds at once.
type endNumbers struct {
	// prefix is the highest number below which no end is missing: each up to it is
	// recorded, or was acknowledged by an earlier owner.
	prefix uint64
	// above holds the recorded numbers above prefix.
	above map[uint64]struct{}
	// listed is set once ends were listed. Before that, prefix doesn't say what an earlier
	// owner has acknowledged.
	listed bool
}

// has reports whether an end is recorded.
func (n *endNumbers) has(number uint64) bool {
	_, ok := n.above[number]
	return ok || number <= n.prefix
}

// add adds the number of an end that is recorded now.
func (n *endNumbers) add(number uint64) {
	if n.above == nil {
		n.above = map[uint64]struct{}{}
	}
	n.above[number] = struct{}{}
}

// settle raises the prefix after all listed ends were added. A list below its maximum length
// is complete: ends with lower numbers that it lacks were acknowledged, by this owner or an
// earlier one. A full list may lack some; without knowledge of earlier ones, the lowest number
// in it counts as the first.
func (n *endNumbers) settle(ends []runner.RunEnd) {
	if len(ends) == 0 {
		return
	}
	lowest, highest := ends[0].Number, uint64(0)
	for i := range ends {
		lowest, highest = min(lowest, ends[i].Number), max(highest, ends[i].Number)
	}
	switch {
	case len(ends) < runner.MaxEnds:
		n.raise(highest)
	case !n.listed && lowest > 0:
		n.raise(lowest - 1)
	}
	n.listed = true
	for {
		if _, ok := n.above[n.prefix+1]; !ok {
			return
		}
		n.prefix++
		delete(n.above, n.prefix)
	}
}

// raise raises the prefix to a number.
func (n *endNumbers) raise(number uint64) {
	if number <= n.prefix {
		return
	}
	n.prefix = number
	for one := range n.above {
		if one <= number {
			delete(n.above, one)
		}
	}
}
