package placement

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/eviction"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// TestBatchLoadAccountsForLag checks that the load for a report is that of a
// lag ago: runs that have ended since count, runs that have started since
// don't, and a throttle counts from when it was set.
func TestBatchLoadAccountsForLag(t *testing.T) {
	s := New(Options{})

	s.SetHost(testHost(0))
	n := s.order[0]
	n.monitor = eviction.NewHostMonitor(s.monitorOptions())
	at := func(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }
	start := func(second int, id string) {
		spec := batchSpec(id, 16, 1)
		spec.Class = id
		s.Enqueue(at(second), spec)
		s.Plan(at(second), 1)
	}
	s.options.Colocation.UsageLag = settings.Duration(5 * time.Second)
	start(0, "old")
	start(0, "throttled")
	start(10, "new")
	s.runs["throttled"].setCPULimit(at(10), 50)
	s.Release(at(10), "old", false)
	tests := []struct {
		second int
		want   map[string]float64
	}{
		{9, map[string]float64{"old": 0.25, "throttled": 0.25}},
		{11, map[string]float64{"throttled": 0.125, "new": 0.25}},
	}
	for _, tt := range tests {
		load := s.batchAt(n, at(tt.second))
		if len(load) != len(tt.want) {
			t.Errorf("at %d s: %v, want %v", tt.second, load, tt.want)
		}
		for _, share := range load {
			if math.Abs(share.CPUShare-tt.want[share.Class]) > 1e-9 {
				t.Errorf("at %d s: %v, want %v", tt.second, load, tt.want)
			}
		}
	}
}

// TestCooldownHostIsLastChoice checks that a class isn't placed again where it
// was evicted while another host fits.
func TestCooldownHostIsLastChoice(t *testing.T) {
	s := New(Options{ObjectivesMS: map[string]float64{"dispatch": 100}})
	s.SetHost(testHost(0))
	s.SetHost(testHost(1))
	spec := batchSpec("other", 32, 125)
	spec.Class = "other"
	s.Adopt(spec, testHost(0).Name)
	s.nodes[testHost(0).Name].startCooldown(epoch, "plan", epoch.Add(time.Minute))
	place := func(id string, now time.Time) string {
		spec := batchSpec(id, 4, 1)
		spec.SubmittedUnixMS = now.Add(-24 * time.Hour).UnixMilli()
		s.Enqueue(now, spec)
		s.Plan(now, 1)
		host := s.runs[id].node.host.Name
		s.Release(now, id, false)
		return host
	}
	if host := place("early", epoch); host != testHost(1).Name {
		t.Errorf("placed on the host of the cooldown")
	}
	if host := place("late", epoch.Add(time.Minute)); host != testHost(0).Name {
		t.Errorf("not placed on the host after the cooldown")
	}
}

// TestLearnedSizesReachPlacement checks that jobs reserve learned sizes, and
// no less memory than declared.
func TestLearnedSizesReachPlacement(t *testing.T) {
	s := New(Options{})
	s.SetHost(testHost(0))
	for i := range 40 {
		spec := batchSpec(string(rune('a'+i)), 8, 8)
		s.Enqueue(epoch, spec)
		s.Plan(epoch, 1)
		s.Observe(Usage{Host: testHost(0).Name, At: epoch, Jobs: []JobUsage{{
			Job: spec.ID, Used: infra.Resources{MilliCPU: 2000, MemoryMB: 2000},
		}}})
		s.Release(epoch.Add(time.Minute), spec.ID, true)
	}
	s.Enqueue(epoch, batchSpec("last", 8, 8))
	got := s.Plan(epoch, 1)[0].Resources
	if got.MilliCPU > 3000 || got.MemoryMB != 8000 {
		t.Errorf("reserves %+v, want at most 3000 thousandths of a core and 8000 MB", got)
	}
	s.RecordOOMKill("last")
	s.Release(epoch, "last", false)
	s.Enqueue(epoch, batchSpec("again", 8, 8))
	if got := s.Plan(epoch, 1)[0].Resources; got.MemoryMB < 12_000 {
		t.Errorf("reserves %+v after an out-of-memory kill at 8000 MB, want at least 12000 MB", got)
	}
}
