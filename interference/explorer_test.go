package interference

import (
	"testing"
	"time"
)

func TestTrialsAreBounded(t *testing.T) {
	e := Explorer{Interval: 15 * time.Second}
	start := time.Unix(1_800_000_000, 0)
	hosts := make([]Trial, 10)
	last := make([]int, len(hosts))
	var begun []int
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for i := range hosts {
			if !e.Allowed(now, hosts[i], 3) {
				continue
			}
			if hosts[i].at.After(start) && second-last[i] < 15 {
				t.Fatalf("host %d has trials at %d s and %d s", i, last[i], second)
			}
			e.Begin(now, &hosts[i])
			last[i] = second
			begun = append(begun, second)
		}
	}
	if len(begun) != 12 {
		t.Errorf("%d trials in 60 s, want 3 in each of 4 intervals", len(begun))
	}
}
