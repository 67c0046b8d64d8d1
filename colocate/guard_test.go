package colocate_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// bound is how long a tail may be over its target in these tests.
	bound = 4 * time.Second
	// target is the serving tasks' target.
	target = 50 * time.Millisecond
	// beat is the time between two reports of a worker.
	beat = 500 * time.Millisecond
)

// start is when the tests begin.
var start = time.Unix(1_800_000_000, 0)

// tailOf returns the tail of a task with the slack.
func tailOf(slack float64) time.Duration {
	return time.Duration(float64(target) / max(slack, 0.1))
}

// serving is a task of a step with the given slack.
func serving(step string, slack float64, over time.Duration) colocate.Serving {
	return colocate.Serving{
		Class: "watch", Step: workload.StepID{Job: step}, Target: target, Tail: tailOf(slack), OverTargetFor: over,
	}
}

// filler is a settled and busy filler that asks for a tenth of the processors.
func filler(image string, saves bool) colocate.BestEffortTask {
	return colocate.BestEffortTask{Image: image, CPUShare: 0.1, Utilization: 1, CPULimit: 100, Resumable: saves, ProgressPercent: 50, Settled: true}
}

// learned returns a model that has seen, in 40 s of reports, that "loud" takes
// 1.0 from the slack of "watch" and "quiet" takes 0.05, beside tasks whose own
// slack is steady at 2.6; and when those reports ended.
func learned() (*colocate.Model, time.Time) {
	m := colocate.NewModel()
	now := start
	for i := range 80 {
		now = start.Add(time.Duration(i) * beat)
		for worker := range 3 {
			w := colocate.Worker{}
			slack := 2.6
			switch (i/4 + worker) % 3 {
			case 0:
				w.BestEffort = []colocate.BestEffortTask{filler("quiet", true)}
				slack -= 0.05
			case 1:
				w.BestEffort = []colocate.BestEffortTask{filler("loud", true)}
				slack -= 1.0
			}
			w.Serving = []colocate.Serving{serving("a", slack, 0)}
			m.Learn(now, &w)
		}
	}
	return m, now
}

// kinds returns the kinds of the actions.
func kinds(actions []colocate.Action) []colocate.Kind {
	all := make([]colocate.Kind, len(actions))
	for i, a := range actions {
		all[i] = a.Kind
	}
	return all
}

// TestGuardActsOnTheOneToBlame leaves a quiet filler alone beside a loud one.
func TestGuardActsOnTheOneToBlame(t *testing.T) {
	m, now := learned()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.9, 0)},
		BestEffort: []colocate.BestEffortTask{filler("quiet", true), filler("loud", true)},
	}
	got := kinds(m.Actions(now, w, bound))
	if got[0] != colocate.NoAction || got[1] == colocate.NoAction {
		t.Errorf("actions %v, want only the loud one to give way", got)
	}
}

// TestGuardSlowsNoMoreThanNeeded lets a loud filler go on at the pace that
// restores the slack, and moves one that would hardly go on.
func TestGuardSlowsNoMoreThanNeeded(t *testing.T) {
	m, now := learned()
	w := &colocate.Worker{BestEffort: []colocate.BestEffortTask{filler("loud", true)}}
	w.Serving = []colocate.Serving{serving("a", 1.0, 0)}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit < 50 || got.CPULimit > 90 {
		t.Errorf("action %+v for a slack of 1.0, want it slowed to about 70%%", got)
	}
	w.Serving = []colocate.Serving{serving("a", 0.4, 0)}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.Migrate {
		t.Errorf("action %+v for a slack of 0.4, want it moved", got)
	}
}

// TestGuardPausesWhatCannotSave pauses a filler that would lose its work.
func TestGuardPausesWhatCannotSave(t *testing.T) {
	m, now := learned()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.4, 0)},
		BestEffort: []colocate.BestEffortTask{filler("loud", false)},
	}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit != 0 {
		t.Errorf("action %+v, want it paused", got)
	}
	w.BestEffort[0].ProgressPercent = 10
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.Migrate {
		t.Errorf("action %+v, want it moved: it has done little", got)
	}
}

// TestGuardLastResort has all fillers give way well before the bound, also
// those that the model doesn't blame, and no paused one go on.
func TestGuardLastResort(t *testing.T) {
	m, now := learned()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.95, bound/4)},
		BestEffort: []colocate.BestEffortTask{filler("quiet", true), filler("quiet", false)},
	}
	got := m.Actions(now, w, bound)
	if got[0].Kind != colocate.Migrate || got[1].Kind != colocate.SetCPULimit || got[1].CPULimit != 0 {
		t.Errorf("actions %+v, want one moved and one paused", got)
	}
}

// TestGuardForesees acts while a tail is still below its target if the task's
// own load rises so that it will soon pass it, not if it falls.
func TestGuardForesees(t *testing.T) {
	for _, c := range []struct {
		slope float64
		want  bool
	}{{-0.4, true}, {0.4, false}} {
		m, now := learned()
		level := 3.4 - 3*c.slope
		for range 6 {
			now = now.Add(beat)
			level += c.slope * beat.Seconds()
			m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("b", level, 0)}})
		}
		w := &colocate.Worker{
			Serving:    []colocate.Serving{serving("b", 1.2, 0)},
			BestEffort: []colocate.BestEffortTask{filler("loud", true)},
		}
		if got := m.Actions(now, w, bound)[0].Kind != colocate.NoAction; got != c.want {
			t.Errorf("slack 1.2 with a slope of %.1f: acted %v, want %v", c.slope, got, c.want)
		}
	}
}

// TestGuardResumes lets a slowed filler go on once all tails can bear it, not
// while one merely is below its target.
func TestGuardResumes(t *testing.T) {
	for slack, want := range map[float64]bool{1.5: false, 3.2: true} {
		m, now := learned()
		for range 8 {
			now = now.Add(beat)
			m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("a", slack, 0)}})
		}
		f := filler("loud", false)
		f.CPULimit = 0
		w := &colocate.Worker{Serving: []colocate.Serving{serving("a", slack, 0)}, BestEffort: []colocate.BestEffortTask{f}}
		got := m.Actions(now, w, bound)[0]
		if (got.Kind == colocate.SetCPULimit && got.CPULimit == 100) != want {
			t.Errorf("at a slack of %.1f: %+v, want resumed %v", slack, got, want)
		}
	}
}

// TestGuardTrustsTheTail goes by a tail that is over its target, whatever the
// model makes of it: a slowed filler isn't resumed, and one that gives way
// does so wholly, not to a pace that the model holds to be enough.
func TestGuardTrustsTheTail(t *testing.T) {
	m, now := learned()
	for range 8 {
		now = now.Add(beat)
		m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("a", 3.2, 0)}})
	}
	slowed := filler("loud", false)
	slowed.CPULimit = 0
	w := &colocate.Worker{Serving: []colocate.Serving{serving("a", 1.1, 0)}, BestEffort: []colocate.BestEffortTask{slowed}}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.NoAction {
		t.Errorf("action %+v beside a slack of 1.1, want it to stay slowed", got)
	}
	w = &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.95, beat/2)},
		BestEffort: []colocate.BestEffortTask{filler("loud", false)},
	}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit != 0 {
		t.Errorf("action %+v for a tail over its target, want it paused", got)
	}
}

// TestHarmOf allows a quiet filler and refuses a loud one beside the same
// task, and refuses one nothing is known of unless there is slack to spare.
func TestHarmOf(t *testing.T) {
	m, now := learned()
	near := &colocate.Worker{Serving: []colocate.Serving{serving("a", 1.6, 0)}}
	for range 8 {
		now = now.Add(beat)
		m.Learn(now, near)
	}
	quiet, loud := m.ImpactOf(m.SlackBudgets(now, near), "quiet", 0.1), m.ImpactOf(m.SlackBudgets(now, near), "loud", 0.1)
	if quiet.Shortfall > 0 || loud.Shortfall <= 0 {
		t.Errorf("short by %.2f for quiet and %.2f for loud, want only loud to be refused", quiet.Shortfall, loud.Shortfall)
	}
	if quiet.Effect > 0.3 || loud.Effect < 0.7 {
		t.Errorf("effects %.2f and %.2f, want about 0.05 and 1.0", quiet.Effect, loud.Effect)
	}
	if h := m.ImpactOf(m.SlackBudgets(now, near), "new", 0.1); h.Shortfall <= 0 {
		t.Errorf("an unknown filler is short by %.2f beside a task near its target, want it refused", h.Shortfall)
	}
	far := &colocate.Worker{Serving: []colocate.Serving{serving("b", 3.8, 0)}}
	for range 8 {
		now = now.Add(beat)
		m.Learn(now, far)
	}
	if h := m.ImpactOf(m.SlackBudgets(now, far), "new", 0.1); h.Shortfall > 0 {
		t.Errorf("an unknown filler is short by %.2f beside a task with slack to spare, want it tried", h.Shortfall)
	}
}

// TestLearnsBesideSwingingLoad replays reports of 24 workers whose serving
// tasks swing between half and one and a half times their mean load, with
// fillers of four images of which two disturb: the effects must be told apart
// from the tasks' own load, and stay finite.
func TestLearnsBesideSwingingLoad(t *testing.T) {
	truth := map[string]float64{"calm1": 0.5, "calm2": 1.0, "loud1": 7, "loud2": 11}
	images := []string{"calm1", "calm2", "loud1", "loud2"}
	m := colocate.NewModel()
	now := start
	for i := range 120 {
		now = start.Add(time.Duration(i) * beat)
		for worker := range 24 {
			step := fmt.Sprintf("job%d", worker%8)
			phase := 2*math.Pi*float64(i)*beat.Seconds()/14 + float64(worker%8)
			own := 5 * (1 - 0.45*(1+0.5*math.Sin(phase)))
			image := images[(i/6+worker)%len(images)]
			w := &colocate.Worker{}
			taken := 0.0
			if (i/6+worker)%5 != 0 {
				w.BestEffort = []colocate.BestEffortTask{filler(image, true)}
				taken = truth[image] * 0.1
			}
			w.Serving = []colocate.Serving{serving(step, own-taken, 0)}
			m.Learn(now, w)
		}
	}
	w := &colocate.Worker{Serving: []colocate.Serving{serving("job0", 2.5, 0)}}
	for _, image := range images {
		got := m.ImpactOf(m.SlackBudgets(now, w), image, 0.1).Effect
		if want := truth[image] * 0.1; !(math.Abs(got-want) <= 0.2) {
			t.Errorf("%s takes %.2f of the slack, in truth %.2f", image, got, want)
		}
	}
}

// TestSwingSurvivesGaps follows a step whose reports come in bursts with gaps
// between: estimates must stay finite.
func TestSwingSurvivesGaps(t *testing.T) {
	m, now := learned()
	for i := range 400 {
		gap := time.Duration(1+(i*7919)%5000) * time.Millisecond
		now = now.Add(gap)
		slack := 2.5 + math.Sin(float64(i))
		w := &colocate.Worker{
			Serving:    []colocate.Serving{serving("gaps", slack, 0)},
			BestEffort: []colocate.BestEffortTask{filler("loud", true)},
		}
		m.Learn(now, w)
		if h := m.ImpactOf(m.SlackBudgets(now, w), "quiet", 0.1); math.IsNaN(h.Shortfall) || math.IsNaN(h.Effect) {
			t.Fatalf("after %d reports the estimates are %+v", i+1, h)
		}
	}
}

// TestWatch looks often at a worker with a new filler or a long tail, and not
// at one whose fillers have settled beside calm tasks.
func TestWatch(t *testing.T) {
	calm := colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}
	settled, fresh, long := calm, calm, calm
	settled.BestEffort = []colocate.BestEffortTask{filler("quiet", true)}
	fresh.BestEffort = []colocate.BestEffortTask{{Image: "quiet", CPUShare: 0.1, CPULimit: 100}}
	long.Serving = []colocate.Serving{serving("a", 1.1, 0)}
	long.BestEffort = settled.BestEffort
	for name, c := range map[string]struct {
		w    colocate.Worker
		want bool
	}{"no fillers": {calm, false}, "settled": {settled, false}, "new": {fresh, true}, "long tail": {long, true}} {
		if got := c.w.NeedsFrequentPolls(); got != c.want {
			t.Errorf("%s: watched %v, want %v", name, got, c.want)
		}
	}
}

// TestClassesAreForgotten has images come and go, as with each release of a
// service, far more of them than the model holds at a time: a pair seen last is
// learned as well as one seen first.
func TestClassesAreForgotten(t *testing.T) {
	m := colocate.NewModel()
	now := start
	for release := range 200 {
		now = now.Add(20 * time.Minute)
		class := fmt.Sprintf("watch-%d", release)
		own := serving(class, 2.6, 0)
		own.Class = class
		w := &colocate.Worker{Serving: []colocate.Serving{own}}
		for i := range 60 {
			now = now.Add(beat)
			w.BestEffort, w.Serving[0].Tail = nil, tailOf(2.6)
			if i%8 >= 4 {
				w.BestEffort, w.Serving[0].Tail = []colocate.BestEffortTask{filler("loud", true)}, tailOf(1.6)
			}
			m.Learn(now, w)
		}
		if got := m.Effect(class, "loud"); got < 6 {
			t.Fatalf("release %d: the effect is learned as %.1f, in truth 10", release, got)
		}
	}
	if got := len(m.Export()); got > 2 {
		t.Errorf("%d classes are kept, want only those seen lately", got)
	}
}

// TestClassBeyondTheBoundCountsAsUnknown takes a pair as unknown, not as
// harmless, if more classes serve at a time than the model holds.
func TestClassBeyondTheBoundCountsAsUnknown(t *testing.T) {
	m := colocate.NewModel()
	for i := range 100 {
		class := fmt.Sprintf("watch-%d", i)
		if got := m.Effect(class, "new"); got < 2 {
			t.Fatalf("class %d: the effect of a pair never seen is %.1f, want a guess between both kinds", i, got)
		}
	}
}
