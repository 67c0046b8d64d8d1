package fairshare_test

import (
	"slices"
	"testing"

	"github.com/fireflygate/fireflygate/fairshare"
)

// poolCores is the capacity of the pools of these tests.
const poolCores = 1000

// queue returns a queue; processors are in cores.
func queue(name string, share float64, used, reclaimable, unmet int64) fairshare.Queue {
	return fairshare.Queue{Name: name, Share: share, Used: used * 1000, Reclaimable: reclaimable * 1000, Unmet: unmet * 1000}
}

// TestPool checks who has a claim, who goes first and what can be reclaimed. It guards
// against a claim without demand or beyond the share, and against loans that include
// long-running tasks or the part of a queue that its share guarantees.
func TestPool(t *testing.T) {
	type loan struct {
		queue string
		cores int64
	}
	for _, c := range []struct {
		name   string
		queues []fairshare.Queue
		first  string
		claims []int64 // in cores
		loans  []loan
	}{
		{"nobody waits", []fairshare.Queue{queue("a", 0.5, 100, 100, 0), queue("b", 0, 900, 900, 0)}, "", []int64{0, 0}, []loan{{"b", 900}}},
		{"below its share", []fairshare.Queue{queue("a", 0.5, 100, 100, 700), queue("b", 0, 900, 900, 50)}, "a", []int64{400, 0}, []loan{{"b", 900}}},
		{"little demand", []fairshare.Queue{queue("a", 0.5, 100, 100, 30), queue("b", 0, 900, 900, 50)}, "a", []int64{30, 0}, []loan{{"b", 900}}},
		{"at its share", []fairshare.Queue{queue("a", 0.5, 500, 500, 700), queue("b", 0, 500, 500, 50)}, "", []int64{0, 0}, []loan{{"b", 500}}},
		{"above its share", []fairshare.Queue{queue("a", 0.5, 800, 800, 700), queue("b", 0.3, 100, 0, 90)}, "b", []int64{0, 90}, []loan{{"a", 300}}},
		{"furthest below, relative to the share", []fairshare.Queue{queue("a", 0.5, 300, 0, 300), queue("b", 0.1, 50, 0, 300)}, "b", []int64{200, 50}, nil},
		{"furthest above first", []fairshare.Queue{queue("a", 0.1, 300, 300, 0), queue("b", 0, 250, 250, 0), queue("c", 0.2, 350, 350, 0)}, "", []int64{0, 0, 0}, []loan{{"b", 250}, {"a", 200}, {"c", 150}}},
		{"long-running tasks", []fairshare.Queue{queue("a", 0.5, 100, 100, 300), queue("b", 0, 800, 40, 0), queue("c", 0, 100, 100, 0)}, "a", []int64{300, 0, 0}, []loan{{"c", 100}, {"b", 40}}},
		{"no capacity", []fairshare.Queue{queue("a", 0.0001, 0, 0, 300)}, "a", []int64{0}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &fairshare.Pool{Capacity: poolCores * 1000, Queues: c.queues}
			first := ""
			if i, ok := p.First(func(i int) bool { return p.Queues[i].Unmet > 0 }); ok {
				first = p.Queues[i].Name
			}
			if first != c.first {
				t.Errorf("%q goes first, want %q", first, c.first)
			}
			for i, want := range c.claims {
				if got := p.Claim(i) / 1000; got != want {
					t.Errorf("%s claims %d cores, want %d", p.Queues[i].Name, got, want)
				}
			}
			var loans []loan
			for _, l := range p.Loans() {
				loans = append(loans, loan{p.Queues[l.Queue].Name, l.MilliCPU / 1000})
			}
			if !slices.Equal(loans, c.loans) {
				t.Errorf("loans %v, want %v", loans, c.loans)
			}
		})
	}
}

// TestReclaimLimit checks that at most a tenth of the pool is reclaimed per second.
func TestReclaimLimit(t *testing.T) {
	p := &fairshare.Pool{Capacity: 1000}
	for lastSecond, want := range map[int64]int64{0: 100, 60: 40, 100: 0, 150: 0} {
		if got := p.ReclaimLimit(lastSecond); got != want {
			t.Errorf("after %d in the last second the limit is %d, want %d", lastSecond, got, want)
		}
	}
}
