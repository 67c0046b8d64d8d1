package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// TestLatencyCriticalWorkIsConsolidated checks that services on every host are
// consolidated one instance at a time, and that no host gets more than a
// quarter of a service.
func TestLatencyCriticalWorkIsConsolidated(t *testing.T) {
	sc := scenario{seed: 1, lag: 5, declaredFactor: 1, seconds: 1200, serving: simHosts}
	sim := newSimulation(sc, false)
	p := newSchedulerPolicy(t, sc)
	got := sim.run(p, func() { requireWithinCapacity(t, p.s) })
	serving := 0
	for i := range sim.hosts {
		h := &sim.hosts[i]
		if h.total() > 0 {
			serving++
		}
		if h.instances[0] > simHosts/consolidateSpread || h.instances[1] > simHosts/consolidateSpread {
			t.Errorf("host %d has %v instances of services with %d each", i, h.instances, simHosts)
		}
	}
	if serving > 2*simHosts/3 || got.moved > 2*simHosts {
		t.Errorf("%d moves, and %d of %d hosts have services", got.moved, serving, simHosts)
	}
}

// TestMayMove checks each reason not to move an instance.
func TestMayMove(t *testing.T) {
	now := epoch
	soon := now.Add(time.Minute).Format(time.RFC3339)
	for _, tt := range []struct {
		name      string
		instances int
		events    map[string]settings.Event
		change    func(*Scheduler)
		want      bool
	}{
		{name: "many stable instances", instances: consolidateInstances, want: true},
		{name: "too few instances", instances: consolidateInstances - 1},
		{
			name: "event of the service is near", instances: consolidateInstances,
			events: map[string]settings.Event{"opening": {Start: soon, Services: []string{"haggle"}}},
		},
		{
			name: "event of another service is near", instances: consolidateInstances, want: true,
			events: map[string]settings.Event{"opening": {Start: soon, Services: []string{"other"}}},
		},
		{name: "one is pending", instances: consolidateInstances, change: func(s *Scheduler) {
			spec := s.runs["i-0"].spec
			spec.ID = "waiting"
			s.Enqueue(now, spec)
		}},
		{name: "one is being evicted", instances: consolidateInstances, change: func(s *Scheduler) { s.runs["i-1"].evictionRequested = now }},
		{name: "one misses its objective", instances: consolidateInstances, change: func(s *Scheduler) {
			for second := range 20 {
				s.Observe(Usage{Host: testHost(1).Name, At: now.Add(time.Duration(second-20) * time.Second), LatencyMS: map[string]float64{"haggle": 200}})
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := simOptions()
			o.Events, o.ObjectivesMS = tt.events, map[string]float64{"haggle": 100}
			s := New(o)
			for i := range tt.instances {
				s.SetHost(testHost(i))
				spec := batchSpec(fmt.Sprint("i-", i), 8, 16)
				spec.Class, spec.QoS, spec.RunMS = "haggle", "latency_critical", 0
				s.AdoptSized(spec, testHost(i).Name, spec.Resources)
			}
			s.updateWindows(now)
			if tt.change != nil {
				tt.change(s)
			}
			if got := s.mayMove(now, s.runs["i-0"]); got != tt.want {
				t.Errorf("mayMove = %t", got)
			}
		})
	}
}
