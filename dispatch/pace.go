package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

const (
	// tailPaceShare is the share of its target from which a serving task's
	// tail has the fillers beside it slowed: before the target is passed.
	tailPaceShare = 0.8
	// tailMoveAfter is how long a tail may stay over its target before the
	// fillers beside it are moved away; pacing takes effect within 0.1 s and
	// shows in the figures of the last half second.
	tailMoveAfter = 1200 * time.Millisecond
	// pacedPercent is the share of processors that a slowed filler keeps.
	pacedPercent = 10
)

// pace slows fillers beside serving tasks whose tail nears its target, and
// moves them away if that doesn't help.
func (s *State) pace(now time.Time) []PaceOrder {
	var orders []PaceOrder
	for _, w := range s.workers {
		if serving, fillers := w.serving(); serving == 0 || fillers == 0 {
			continue
		}
		near, over := w.tails(now)
		for _, r := range w.runs {
			if !r.task.step.spec.Filler || r.phase != running {
				continue
			}
			if over {
				s.Stats.FillersMoved++
				s.stop(now, r)
				continue
			}
			want := 100
			if near {
				want = pacedPercent
			}
			if want != 100 && r.pace != want {
				r.pace = want
				orders = append(orders, PaceOrder{Worker: w.info, Pace: runner.Pace{
					Task: r.task.id(), Run: r.number, Percent: want, Token: w.token,
				}})
			}
		}
	}
	return orders
}

// tails reports whether a serving task's tail is near its target, and whether
// one has been over it for too long.
func (w *worker) tails(now time.Time) (near, over bool) {
	for _, r := range w.runs {
		target := r.task.step.spec.TailTarget
		if target == 0 || r.phase != running {
			continue
		}
		tail := time.Duration(r.usage) * time.Millisecond
		if tail <= target {
			r.tailOver = time.Time{}
		} else if r.tailOver.IsZero() {
			r.tailOver = now
		}
		near = near || float64(tail) >= tailPaceShare*float64(target)
		over = over || (!r.tailOver.IsZero() && now.Sub(r.tailOver) >= tailMoveAfter)
	}
	return near, over
}
