package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/settings"
)

// TestLatencyCriticalWorkIsGathered has services on every host, beside batch
// that hurts them: they come together on fewer hosts, one at a time, and no
// host holds more than a quarter of a service.
func TestLatencyCriticalWorkIsGathered(t *testing.T) {
	sc := scenario{table: 1, lag: 5, declared: 1, seconds: 1200, serving: fakeHosts}
	f := newFake(sc, false)
	p := newSchedulerPolicy(t, sc)
	got := f.run(p, func() { requireWithinCapacity(t, p.s) })
	serving := 0
	for i := range f.hosts {
		h := &f.hosts[i]
		if h.total() > 0 {
			serving++
		}
		if h.instances[0] > fakeHosts/gatherSpread || h.instances[1] > fakeHosts/gatherSpread {
			t.Errorf("host %d holds %v of %d instances", i, h.instances, fakeHosts)
		}
	}
	if serving > 2*fakeHosts/3 || got.moved > 2*fakeHosts {
		t.Errorf("after %d moves %d of %d hosts serve", got.moved, serving, fakeHosts)
	}
}

// TestMovesOnlyWhatIsSafe asks for each reason not to move an instance.
func TestMovesOnlyWhatIsSafe(t *testing.T) {
	now := epoch
	soon := now.Add(time.Minute).Format(time.RFC3339)
	for _, tt := range []struct {
		name      string
		instances int
		events    map[string]settings.Event
		change    func(*Scheduler)
		want      bool
	}{
		{name: "many at rest", instances: gatherInstances, want: true},
		{name: "few", instances: gatherInstances - 1},
		{
			name: "event of the service near", instances: gatherInstances,
			events: map[string]settings.Event{"opening": {Start: soon, Services: []string{"haggle"}}},
		},
		{
			name: "event of another service near", instances: gatherInstances, want: true,
			events: map[string]settings.Event{"opening": {Start: soon, Services: []string{"other"}}},
		},
		{name: "one waits", instances: gatherInstances, change: func(s *Scheduler) {
			spec := s.runs["i-0"].spec
			spec.ID = "waiting"
			s.Enqueue(now, spec)
		}},
		{name: "one on the move", instances: gatherInstances, change: func(s *Scheduler) { s.runs["i-1"].evicting = now }},
		{name: "one misses its objective", instances: gatherInstances, change: func(s *Scheduler) {
			for second := range 20 {
				s.Observe(Usage{Host: testHost(1).Name, At: now.Add(time.Duration(second-20) * time.Second), LatencyMS: map[string]float64{"haggle": 200}})
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := fakeOptions()
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
				t.Errorf("may move: %t", got)
			}
		})
	}
}
