package colocate_test

import (
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/interference"
)

// bound is how long a tail may be over its target in these tests.
const bound = 4 * time.Second

// serving is a task with a target of 50 ms and the given tail.
func serving(tail, over time.Duration) colocate.Serving {
	return colocate.Serving{Class: "watch", Target: 50 * time.Millisecond, Tail: tail, OverFor: over}
}

// filler is a filler of a tenth of the processors.
func filler(image string, saves bool) colocate.Filler {
	return colocate.Filler{Image: image, Part: 0.1, Pace: 100, Saves: saves, Percent: 50, Settled: true}
}

// learned returns a model that has seen "loud" triple the tail of "watch" and
// "quiet" do nothing.
func learned() *interference.Model {
	m := interference.NewModel(map[string]float64{"watch": 50}, colocate.Margin)
	for i := range 400 {
		w := colocate.Worker{Serving: []colocate.Serving{serving(19*time.Millisecond, 0)}}
		switch i % 3 {
		case 0:
			w.Fillers = []colocate.Filler{filler("quiet", true)}
		case 1:
			w.Fillers = []colocate.Filler{filler("loud", true)}
			w.Serving[0].Tail = 57 * time.Millisecond
		}
		colocate.Learn(m, &w)
	}
	return m
}

// TestGuardActsOnTheOneToBlame leaves a quiet filler alone beside a loud one.
func TestGuardActsOnTheOneToBlame(t *testing.T) {
	m := learned()
	w := &colocate.Worker{
		Serving: []colocate.Serving{serving(60*time.Millisecond, 0)},
		Fillers: []colocate.Filler{filler("quiet", true), filler("loud", true)},
	}
	got := colocate.Guard(m, w, bound)
	if got[0] != colocate.Leave || got[1] != colocate.Move {
		t.Errorf("actions %v, want only the loud one moved", got)
	}
}

// TestGuardSlowsWhatCannotSave slows a filler that would lose its work.
func TestGuardSlowsWhatCannotSave(t *testing.T) {
	w := &colocate.Worker{
		Serving: []colocate.Serving{serving(60*time.Millisecond, 0)},
		Fillers: []colocate.Filler{filler("loud", false)},
	}
	if got := colocate.Guard(learned(), w, bound); got[0] != colocate.Slow {
		t.Errorf("action %v, want it slowed", got[0])
	}
	w.Fillers[0].Percent = 10
	if got := colocate.Guard(learned(), w, bound); got[0] != colocate.Move {
		t.Errorf("action %v, want it moved: it has done little", got[0])
	}
}

// TestGuardLastResort has all fillers give way well before the bound, also
// those that the model doesn't blame, and no slowed one go on.
func TestGuardLastResort(t *testing.T) {
	if colocate.SlowPercent != 0 {
		t.Errorf("a slowed filler works on at %d%%", colocate.SlowPercent)
	}
	w := &colocate.Worker{
		Serving: []colocate.Serving{serving(55*time.Millisecond, bound/4)},
		Fillers: []colocate.Filler{filler("quiet", true), filler("quiet", false)},
	}
	got := colocate.Guard(learned(), w, bound)
	if got[0] != colocate.Move || got[1] != colocate.Slow {
		t.Errorf("actions %v, want both to give way", got)
	}
}

// TestGuardResumes lets a slowed filler go on once all tails are calm, not
// while one is merely below its target.
func TestGuardResumes(t *testing.T) {
	f := filler("loud", false)
	f.Pace = colocate.SlowPercent
	for tail, want := range map[time.Duration]colocate.Action{
		40 * time.Millisecond: colocate.Leave, 20 * time.Millisecond: colocate.Resume,
	} {
		w := &colocate.Worker{Serving: []colocate.Serving{serving(tail, 0)}, Fillers: []colocate.Filler{f}}
		if got := colocate.Guard(learned(), w, bound); got[0] != want {
			t.Errorf("at a tail of %v: %v, want %v", tail, got[0], want)
		}
	}
}

// TestHarmOf allows a quiet filler and refuses a loud one beside the same
// task, and calls a filler nothing is known of a trial.
func TestHarmOf(t *testing.T) {
	m := learned()
	w := &colocate.Worker{Serving: []colocate.Serving{serving(19*time.Millisecond, 0)}}
	quiet, loud := colocate.HarmOf(m, w, "quiet", 0.1), colocate.HarmOf(m, w, "loud", 0.1)
	if quiet.Expected > 0.05 || loud.Expected < 0.2 {
		t.Errorf("harm of quiet %.2f and loud %.2f, want next to none and much", quiet.Expected, loud.Expected)
	}
	if h := colocate.HarmOf(m, w, "new", 0.1); !h.Trial {
		t.Errorf("harm of an unknown pair %+v, want it called a trial", h)
	}
}

// TestWatch looks often at a worker with a new filler or a long tail, and not
// at one whose fillers have settled beside calm tasks.
func TestWatch(t *testing.T) {
	calm := colocate.Worker{Serving: []colocate.Serving{serving(19*time.Millisecond, 0)}}
	settled, fresh, long := calm, calm, calm
	settled.Fillers = []colocate.Filler{filler("quiet", true)}
	fresh.Fillers = []colocate.Filler{{Image: "quiet", Part: 0.1, Pace: 100}}
	long.Serving = []colocate.Serving{serving(45*time.Millisecond, 0)}
	long.Fillers = settled.Fillers
	for name, c := range map[string]struct {
		w    colocate.Worker
		want bool
	}{"no fillers": {calm, false}, "settled": {settled, false}, "new": {fresh, true}, "long tail": {long, true}} {
		if got := c.w.Watch(); got != c.want {
			t.Errorf("%s: watched %v, want %v", name, got, c.want)
		}
	}
}
