package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/settings"
)

// starts returns the number of starts in a plan.
func starts(s *Scheduler, now time.Time) int {
	count := 0
	for _, a := range s.Plan(now, 1000) {
		if a.Kind == Start {
			count++
		}
	}
	return count
}

func TestPolicyChangeTakesEffectAndKeepsEstimates(t *testing.T) {
	o := Options{
		Teams:        map[string]settings.Team{"routes": {MilliCPU: 32_000, Weight: 1}},
		Colocation:   settings.Default().Colocation,
		ObjectivesMS: map[string]float64{"haggle": 20},
	}
	s := New(o)
	now := epoch
	s.SetHost(testHost(0))
	for i := range 10 {
		spec := batchSpec(fmt.Sprint("learn-", i), 4, 1)
		s.AdoptSized(spec, testHost(0).Name, spec.Resources)
		s.Observe(Usage{Host: testHost(0).Name, At: now, Jobs: []JobUsage{{Job: spec.ID, Used: infra.Resources{MilliCPU: 2000, MemoryMB: 1000}}}})
		s.Release(now, spec.ID, true)
		s.model.Learn("haggle", interference.Load{Batch: []interference.Share{{Class: "plan", CPUShare: 0.5}}}, 10)
	}
	learned := s.estimator.Size(batchSpec("x", 4, 1))
	maxEffect := s.model.MaxEffect("plan")
	for i := range 20 {
		s.Enqueue(now, batchSpec(fmt.Sprint("j-", i), 4, 1))
	}
	before := starts(s, now)
	if learned.MilliCPU >= 4000 || before != int(32_000/learned.MilliCPU) {
		t.Fatalf("learned size %+v, %d starts with the first quota", learned, before)
	}

	o.Teams = map[string]settings.Team{"routes": {MilliCPU: 8000, Weight: 1}}
	s.SetPolicy(o)
	if n := starts(s, now); n != 0 {
		t.Errorf("%d starts above the lowered quota", n)
	}
	o.Teams = nil
	o.Events = map[string]settings.Event{"opening": {
		Start: now.Add(time.Minute).Format(time.RFC3339), Headroom: 0.5,
		Before: settings.Duration(time.Hour), After: settings.Duration(time.Hour),
	}}
	s.SetPolicy(o)
	starts(s, now)
	if free := s.nodes[testHost(0).Name].free().MilliCPU; free < 32_000 {
		t.Errorf("%d thousandths of a core free, want half the host for the event", free)
	}
	// The margin keeps both excesses above zero.
	o.Events, o.ObjectivesMS, o.TailMargin = nil, map[string]float64{"haggle": 10}, 5
	s.SetPolicy(o)
	if got := s.estimator.Size(batchSpec("x", 4, 1)); got != learned {
		t.Errorf("learned size %+v became %+v", learned, got)
	}
	if got := s.model.MaxEffect("plan"); got != maxEffect {
		t.Errorf("learned effect %f became %f", maxEffect, got)
	}
	raised := s.model.MeanExcess("haggle", interference.Load{})
	o.ObjectivesMS = map[string]float64{"haggle": 20}
	s.SetPolicy(o)
	if again := s.model.MeanExcess("haggle", interference.Load{}); math.Abs(raised-again-math.Log(2)) > 1e-9 {
		t.Errorf("excess %f with half the objective, %f with the whole one", raised, again)
	}
	if n := starts(s, now); n == 0 {
		t.Error("no starts without quota and event")
	}
}
