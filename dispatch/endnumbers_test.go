package dispatch

import (
	"testing"

	"github.com/fireflygate/fireflygate/runner"
)

// TestNoMissingEndIsAcknowledged guards against an end that a worker forgets before it is
// recorded: the number to acknowledge is the highest below which none is missing.
func TestNoMissingEndIsAcknowledged(t *testing.T) {
	full := make([]uint64, runner.MaxEnds)
	for i := range full {
		full[i] = uint64(2 + i) // 2 to MaxEnds+1
	}
	withGap := append([]uint64{9 + runner.MaxEnds}, full[1:]...) // 3 to MaxEnds+1, then a gap
	for name, c := range map[string]struct {
		lists [][]uint64
		want  uint64
	}{
		"nothing listed":                          {[][]uint64{{}}, 0},
		"in order":                                {[][]uint64{{1, 2, 3}}, 3},
		"in another order":                        {[][]uint64{{3, 1, 2}}, 3},
		"earlier ones acknowledged before":        {[][]uint64{{58, 57}}, 58},
		"listed again":                            {[][]uint64{{1, 2}, {2, 1, 3}}, 3},
		"an older list comes late":                {[][]uint64{{1, 2, 3}, {1}}, 3},
		"full list of an unknown past":            {[][]uint64{full}, runner.MaxEnds + 1},
		"full list with a gap":                    {[][]uint64{withGap}, runner.MaxEnds + 1},
		"full list after the first":               {[][]uint64{{1}, full}, runner.MaxEnds + 1},
		"full list that lacks the next":           {[][]uint64{{1}, withGap}, 1},
		"full list that lacks the next, then all": {[][]uint64{{1}, withGap, {2}}, runner.MaxEnds + 1},
	} {
		var n endNumbers
		for _, list := range c.lists {
			var ends []runner.RunEnd
			for _, number := range list {
				if !n.has(number) {
					n.add(number)
				}
				ends = append(ends, runner.RunEnd{Number: number})
			}
			n.settle(ends)
		}
		if n.prefix != c.want {
			t.Errorf("%s: ends up to %d may be acknowledged, want %d", name, n.prefix, c.want)
		}
		for number := range n.above {
			if number <= n.prefix {
				t.Errorf("%s: %d is kept though no end is missing up to %d", name, number, n.prefix)
			}
		}
	}
}
