package colocate_test

import (
	"testing"

	"github.com/fireflygate/fireflygate/colocate"
)

// TestSlowWorkerTeachesNothing replays one worker of four that runs at a quarter
// of its speed for 5 s, beside fillers that are known to be quiet. Its tails say
// nothing of the fillers: where the others serve these must still count as quiet.
func TestSlowWorkerTeachesNothing(t *testing.T) {
	m, now := learned()
	before := m.Effect("watch", "quiet")
	for range 10 {
		now = now.Add(beat)
		for worker := range 4 {
			slack := 2.55
			if worker == 3 {
				slack /= 4
			}
			m.Learn(now, &colocate.Worker{
				Serving: []colocate.Serving{serving("a", slack, 0)}, BestEffort: []colocate.BestEffortTask{filler("quiet", true)},
			})
		}
	}
	after := m.Effect("watch", "quiet")
	t.Logf("a whole worker of the quiet image takes %.2f, before the slow worker %.2f", after, before)
	if after > before+0.5 {
		t.Errorf("a whole worker of the quiet image is taken to take %.2f, was %.2f before a worker turned slow", after, before)
	}
}

// TestNewDisturberIsLearnedAtOnce makes sure that a filler that nothing is known
// of is blamed for a long tail, and not the worker.
func TestNewDisturberIsLearnedAtOnce(t *testing.T) {
	m, now := learned()
	for range 3 {
		now = now.Add(beat)
		for worker := range 3 {
			w := colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}
			if worker == 0 {
				w.Serving[0] = serving("a", 1.3, 0)
				w.BestEffort = []colocate.BestEffortTask{filler("new", true)}
			}
			m.Learn(now, &w)
		}
	}
	if effect := m.Effect("watch", "new"); effect < 6 {
		t.Errorf("a tenth of a worker took 1.3 from the slack, a whole one is taken to take %.1f", effect)
	}
}
