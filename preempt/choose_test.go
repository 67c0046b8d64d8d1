package preempt_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/preempt"
)

// TestChoose checks that enough capacity is freed with the least work lost.
func TestChoose(t *testing.T) {
	resources := func(cpu, mem int64) infra.Resources { return infra.Resources{MilliCPU: cpu, MemoryMB: mem} }
	victims := []preempt.Victim{
		{ID: 0, Reserved: resources(0, 100), LostWork: 50},
		{ID: 1, Reserved: resources(0, 300), LostWork: 60},
		{ID: 2, Reserved: resources(5000, 10), LostWork: 10},
		{ID: 3, Reserved: resources(0, 100), LostWork: 900},
	}
	for _, c := range []struct {
		name        string
		needs, free infra.Resources
		want        []int
		loss        int64
		ok          bool
	}{
		{"fits already", resources(1000, 100), resources(1000, 100), nil, 0, true},
		{"memory: the smaller victim isn't needed", resources(1000, 300), resources(1000, 0), []int{1}, 60, true},
		{"processors: only the run that reserves some", resources(4000, 10), resources(0, 10), []int{2}, 10, true},
		{"both", resources(4000, 90), resources(0, 0), []int{0, 2}, 60, true},
		{"not enough in total", resources(9000, 100), resources(0, 100), nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			chosen, loss, ok := preempt.Choose(c.needs, c.free, victims)
			if ok != c.ok || loss != c.loss || len(chosen) != len(c.want) {
				t.Fatalf("got %v, loss %d, %v; want %v, loss %d, %v", chosen, loss, ok, c.want, c.loss, c.ok)
			}
			seen := map[int]bool{}
			for _, v := range chosen {
				seen[v.ID] = true
			}
			for _, id := range c.want {
				if !seen[id] {
					t.Errorf("victim %d isn't chosen: %v", id, chosen)
				}
			}
		})
	}
}
