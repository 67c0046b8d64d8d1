package colocate_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/colocate"
)

// TestSlowWorkerIsNotLearnedFrom checks that the long tails of a worker at a
// quarter of its speed don't raise the effect of its best-effort tasks.
func TestSlowWorkerIsNotLearnedFrom(t *testing.T) {
	m, now := trainedModel()
	before := m.Effect("watch", "low-impact")
	for range 10 {
		now = now.Add(reportInterval)
		for worker := range 4 {
			slack := 2.55
			if worker == 3 {
				slack /= 4
			}
			m.Learn(now, &colocate.Worker{
				Serving: []colocate.Serving{serving("a", slack, 0)}, BestEffort: []colocate.BestEffortTask{bestEffort("low-impact", true)},
			})
		}
	}
	after := m.Effect("watch", "low-impact")
	t.Logf("effect of the low-impact image %.2f, before the reports of the slow worker %.2f", after, before)
	if after > before+0.5 {
		t.Errorf("effect of the low-impact image rose to %.2f from %.2f due to a slow worker", after, before)
	}
}

// TestNewHighImpactImageIsLearnedQuickly checks that a long tail next to an
// unknown image is attributed to the image, not to a slow worker.
func TestNewHighImpactImageIsLearnedQuickly(t *testing.T) {
	m, now := trainedModel()
	for range 3 {
		now = now.Add(reportInterval)
		for worker := range 3 {
			w := colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}
			if worker == 0 {
				w.Serving[0] = serving("a", 1.3, 0)
				w.BestEffort = []colocate.BestEffortTask{bestEffort("new", true)}
			}
			m.Learn(now, &w)
		}
	}
	if effect := m.Effect("watch", "new"); effect < 6 {
		t.Errorf("learned effect %.1f of an image that takes 1.3 with a tenth of a worker, want about 13", effect)
	}
}

// TestSlowdown checks the ratio of tails to what is expected, on workers that are slow, that
// are not, and whose neighbours have unknown effects. A wrong ratio would cost callers a
// move of a serving task.
func TestSlowdown(t *testing.T) {
	m, now := trainedModel()
	for name, c := range map[string]struct {
		worker      colocate.Worker
		least, most float64
		unexplained bool
	}{
		"normal": {colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}, 0.8, 1.25, false},
		"slow":   {colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6/6, 0)}}, 4.5, 7.5, true},
		"unknown neighbour": {colocate.Worker{
			Serving: []colocate.Serving{serving("a", 0.4, 0)}, BestEffort: []colocate.BestEffortTask{bestEffort("new", true), bestEffort("newer", true)},
		}, 0, 0, false},
		"unknown step": {colocate.Worker{Serving: []colocate.Serving{serving("another", 0.4, 0)}}, 0, 0, false},
		"no tail":      {colocate.Worker{}, 0, 0, false},
	} {
		got := m.Slowdown(now, &c.worker)
		if got.Ratio < c.least || got.Ratio > c.most || got.Unexplained != c.unexplained {
			t.Errorf("%s: %+v, want a ratio of %v to %v, unexplained: %v", name, got, c.least, c.most, c.unexplained)
		}
	}
}

// TestLearnEffectsKeepsTrends checks that the reports of a worker that may be slow don't
// change what is expected of the same steps elsewhere, as Learn would.
func TestLearnEffectsKeepsTrends(t *testing.T) {
	m, now := trainedModel()
	normal := colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}
	long := colocate.Worker{Serving: []colocate.Serving{serving("a", 1.9, 0)}}
	for range 10 {
		m.LearnEffects(now, &long)
	}
	if got := m.Slowdown(now, &normal).Ratio; got < 0.8 || got > 1.25 {
		t.Errorf("a normal tail is %.2f times as long as expected after reports of another worker, want 1", got)
	}
}
