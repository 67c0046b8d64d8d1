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
