package colocate_test

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
)

// TestLowImpactTaskFitsUnderVaryingLoad checks that a low-impact task fits
// except near the peak of a load that takes the slack from 4.65 to 1.35 and
// back within 20 s.
func TestLowImpactTaskFitsUnderVaryingLoad(t *testing.T) {
	m := colocate.NewModel()
	fits, total := 0, 0
	for i := range 160 {
		now := start.Add(time.Duration(i) * reportInterval)
		own := 3 - 1.65*math.Sin(2*math.Pi*now.Sub(start).Seconds()/20)
		shared := colocate.Worker{
			Serving: []colocate.Serving{serving("a", own-0.15, 0)}, BestEffort: []colocate.BestEffortTask{bestEffort("low-impact", true)},
		}
		m.Learn(now, &shared)
		alone := colocate.Worker{Serving: []colocate.Serving{serving("a", own, 0)}}
		m.Learn(now, &alone)
		if i < 80 {
			continue // the model is trained in the first 80 reports
		}
		total++
		if m.ImpactOf(m.SlackBudgets(now, &alone), "low-impact", 0.1).Shortfall <= 0 {
			fits++
		}
	}
	t.Logf("low-impact task fits at %d of %d times", fits, total)
	if fits < total*9/10 {
		t.Errorf("low-impact task fits at %d of %d times, want nine in ten", fits, total)
	}
}

// TestUnknownPairsAreTried checks that an image without an estimate fits where
// there is ample slack, since its effect is learned only once it runs, and
// nowhere else.
func TestUnknownPairsAreTried(t *testing.T) {
	for _, c := range []struct {
		slack float64
		fits  bool
	}{{1.9, true}, {1.5, false}} {
		m := colocate.NewModel()
		w := colocate.Worker{Serving: []colocate.Serving{serving("a", c.slack, 0)}}
		now := start
		for i := range 20 {
			now = start.Add(time.Duration(i) * reportInterval)
			m.Learn(now, &w)
		}
		if fits := m.ImpactOf(m.SlackBudgets(now, &w), "new", 0.1).Shortfall <= 0; fits != c.fits {
			t.Errorf("unknown image at a slack of %.1f fits: %v, want %v", c.slack, fits, c.fits)
		}
	}
}

// TestNothingFitsWhileTailOverTarget checks that no task is placed on a worker
// with a tail over its target even if the model predicts enough slack.
func TestNothingFitsWhileTailOverTarget(t *testing.T) {
	m, now := trainedModel()
	w := colocate.Worker{Serving: []colocate.Serving{serving("a", 0.9, reportInterval)}}
	if m.ImpactOf(m.SlackBudgets(now, &w), "low-impact", 0.1).Shortfall <= 0 {
		t.Error("a task fits on a worker with a tail over its target")
	}
	w.Serving[0].OverTargetFor = 0
	if m.ImpactOf(m.SlackBudgets(now, &w), "low-impact", 0.1).Shortfall > 0 {
		t.Error("a low-impact task doesn't fit despite enough slack")
	}
}
