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
	bound  = 4 * time.Second
	target = 50 * time.Millisecond
	// reportInterval is the time between two reports of a worker.
	reportInterval = 500 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// tailOf returns the tail latency that corresponds to the slack.
func tailOf(slack float64) time.Duration {
	return time.Duration(float64(target) / max(slack, 0.1))
}

func serving(step string, slack float64, over time.Duration) colocate.Serving {
	return colocate.Serving{
		Class: "watch", Step: workload.StepID{Job: step}, Target: target, Tail: tailOf(slack), OverTargetFor: over,
	}
}

// bestEffort returns a settled, fully utilized task that requests a tenth of
// the worker's processors.
func bestEffort(image string, resumable bool) colocate.BestEffortTask {
	return colocate.BestEffortTask{Image: image, CPUShare: 0.1, Utilization: 1, CPULimit: 100, Resumable: resumable, ProgressPercent: 50, Settled: true}
}

// trainedModel returns a model trained on 40 s of reports, and the time of the
// last one. In these reports "high-impact" takes 1.0 from the slack of class
// "watch" and "low-impact" takes 0.05, and the slack without them is a
// constant 2.6.
func trainedModel() (*colocate.Model, time.Time) {
	m := colocate.NewModel()
	now := start
	for i := range 80 {
		now = start.Add(time.Duration(i) * reportInterval)
		for worker := range 3 {
			w := colocate.Worker{}
			slack := 2.6
			switch (i/4 + worker) % 3 {
			case 0:
				w.BestEffort = []colocate.BestEffortTask{bestEffort("low-impact", true)}
				slack -= 0.05
			case 1:
				w.BestEffort = []colocate.BestEffortTask{bestEffort("high-impact", true)}
				slack -= 1.0
			}
			w.Serving = []colocate.Serving{serving("a", slack, 0)}
			m.Learn(now, &w)
		}
	}
	return m, now
}

func kinds(actions []colocate.Action) []colocate.Kind {
	all := make([]colocate.Kind, len(actions))
	for i, a := range actions {
		all[i] = a.Kind
	}
	return all
}

// TestActionsTargetHighImpactTask checks that only the task with the large
// effect is acted on.
func TestActionsTargetHighImpactTask(t *testing.T) {
	m, now := trainedModel()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.9, 0)},
		BestEffort: []colocate.BestEffortTask{bestEffort("low-impact", true), bestEffort("high-impact", true)},
	}
	got := kinds(m.Actions(now, w, bound))
	if got[0] != colocate.NoAction || got[1] == colocate.NoAction {
		t.Errorf("actions %v, want only the high-impact task acted on", got)
	}
}

// TestActionsLimitCPUNoMoreThanNeeded checks that a task gets the CPU limit
// that restores the slack, and is migrated if the limit would be too low.
func TestActionsLimitCPUNoMoreThanNeeded(t *testing.T) {
	m, now := trainedModel()
	w := &colocate.Worker{BestEffort: []colocate.BestEffortTask{bestEffort("high-impact", true)}}
	w.Serving = []colocate.Serving{serving("a", 1.0, 0)}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit < 50 || got.CPULimit > 90 {
		t.Errorf("action %+v for a slack of 1.0, want a CPU limit of about 70%%", got)
	}
	w.Serving = []colocate.Serving{serving("a", 0.4, 0)}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.Migrate {
		t.Errorf("action %+v for a slack of 0.4, want Migrate", got)
	}
}

// TestActionsPauseNonResumable checks that a task that can't resume elsewhere
// is paused, unless it has made little progress.
func TestActionsPauseNonResumable(t *testing.T) {
	m, now := trainedModel()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.4, 0)},
		BestEffort: []colocate.BestEffortTask{bestEffort("high-impact", false)},
	}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit != 0 {
		t.Errorf("action %+v, want a CPU limit of 0", got)
	}
	w.BestEffort[0].ProgressPercent = 10
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.Migrate {
		t.Errorf("action %+v at 10%% progress, want Migrate", got)
	}
}

// TestActionsLastResort checks that all tasks are acted on well before the
// bound, including those with a small estimated effect, and that none resumes.
func TestActionsLastResort(t *testing.T) {
	m, now := trainedModel()
	w := &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.95, bound/4)},
		BestEffort: []colocate.BestEffortTask{bestEffort("low-impact", true), bestEffort("low-impact", false)},
	}
	got := m.Actions(now, w, bound)
	if got[0].Kind != colocate.Migrate || got[1].Kind != colocate.SetCPULimit || got[1].CPULimit != 0 {
		t.Errorf("actions %+v, want the resumable task migrated and the other paused", got)
	}
}

// TestActionsAnticipateLoad checks that a task is acted on before a rising
// load takes the tail over its target, and not while the load falls.
func TestActionsAnticipateLoad(t *testing.T) {
	for _, c := range []struct {
		slope float64
		want  bool
	}{{-0.4, true}, {0.4, false}} {
		m, now := trainedModel()
		level := 3.4 - 3*c.slope
		for range 6 {
			now = now.Add(reportInterval)
			level += c.slope * reportInterval.Seconds()
			m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("b", level, 0)}})
		}
		w := &colocate.Worker{
			Serving:    []colocate.Serving{serving("b", 1.2, 0)},
			BestEffort: []colocate.BestEffortTask{bestEffort("high-impact", true)},
		}
		if got := m.Actions(now, w, bound)[0].Kind != colocate.NoAction; got != c.want {
			t.Errorf("slack 1.2 with a slope of %.1f: acted %v, want %v", c.slope, got, c.want)
		}
	}
}

// TestActionsResume checks that a paused task resumes once every tail has
// enough slack, not as soon as a tail is below its target.
func TestActionsResume(t *testing.T) {
	for slack, want := range map[float64]bool{1.5: false, 3.2: true} {
		m, now := trainedModel()
		for range 8 {
			now = now.Add(reportInterval)
			m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("a", slack, 0)}})
		}
		task := bestEffort("high-impact", false)
		task.CPULimit = 0
		w := &colocate.Worker{Serving: []colocate.Serving{serving("a", slack, 0)}, BestEffort: []colocate.BestEffortTask{task}}
		got := m.Actions(now, w, bound)[0]
		if (got.Kind == colocate.SetCPULimit && got.CPULimit == 100) != want {
			t.Errorf("at a slack of %.1f: action %+v, want resumed %v", slack, got, want)
		}
	}
}

// TestActionsFollowTailOverModel checks that a long tail takes precedence over
// the model: a paused task isn't resumed, and a running one is paused rather
// than limited.
func TestActionsFollowTailOverModel(t *testing.T) {
	m, now := trainedModel()
	for range 8 {
		now = now.Add(reportInterval)
		m.Learn(now, &colocate.Worker{Serving: []colocate.Serving{serving("a", 3.2, 0)}})
	}
	paused := bestEffort("high-impact", false)
	paused.CPULimit = 0
	w := &colocate.Worker{Serving: []colocate.Serving{serving("a", 1.1, 0)}, BestEffort: []colocate.BestEffortTask{paused}}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.NoAction {
		t.Errorf("action %+v for a paused task at a slack of 1.1, want NoAction", got)
	}
	w = &colocate.Worker{
		Serving:    []colocate.Serving{serving("a", 0.95, reportInterval/2)},
		BestEffort: []colocate.BestEffortTask{bestEffort("high-impact", false)},
	}
	if got := m.Actions(now, w, bound)[0]; got.Kind != colocate.SetCPULimit || got.CPULimit != 0 {
		t.Errorf("action %+v for a tail over its target, want a CPU limit of 0", got)
	}
}

// TestImpactOf checks that a low-impact image fits on a worker where a
// high-impact one doesn't, and that an unknown image fits only where there is
// ample slack.
func TestImpactOf(t *testing.T) {
	m, now := trainedModel()
	nearTarget := &colocate.Worker{Serving: []colocate.Serving{serving("a", 1.6, 0)}}
	for range 8 {
		now = now.Add(reportInterval)
		m.Learn(now, nearTarget)
	}
	lowImpact, highImpact := m.ImpactOf(m.SlackBudgets(now, nearTarget), "low-impact", 0.1), m.ImpactOf(m.SlackBudgets(now, nearTarget), "high-impact", 0.1)
	if lowImpact.Shortfall > 0 || highImpact.Shortfall <= 0 {
		t.Errorf("shortfall %.2f for low-impact and %.2f for high-impact, want only the latter above 0", lowImpact.Shortfall, highImpact.Shortfall)
	}
	if lowImpact.Effect > 0.3 || highImpact.Effect < 0.7 {
		t.Errorf("effects %.2f and %.2f, want about 0.05 and 1.0", lowImpact.Effect, highImpact.Effect)
	}
	if impact := m.ImpactOf(m.SlackBudgets(now, nearTarget), "new", 0.1); impact.Shortfall <= 0 {
		t.Errorf("shortfall %.2f of an unknown image with a tail near its target, want it above 0", impact.Shortfall)
	}
	ampleSlack := &colocate.Worker{Serving: []colocate.Serving{serving("b", 3.8, 0)}}
	for range 8 {
		now = now.Add(reportInterval)
		m.Learn(now, ampleSlack)
	}
	if impact := m.ImpactOf(m.SlackBudgets(now, ampleSlack), "new", 0.1); impact.Shortfall > 0 {
		t.Errorf("shortfall %.2f of an unknown image with ample slack, want 0", impact.Shortfall)
	}
}

// TestLearnsUnderVaryingLoad checks that effects are told apart from the
// serving tasks' own load, which varies between half and one and a half times
// its mean.
func TestLearnsUnderVaryingLoad(t *testing.T) {
	effects := map[string]float64{"low1": 0.5, "low2": 1.0, "high1": 7, "high2": 11}
	images := []string{"low1", "low2", "high1", "high2"}
	m := colocate.NewModel()
	now := start
	for i := range 120 {
		now = start.Add(time.Duration(i) * reportInterval)
		for worker := range 24 {
			step := fmt.Sprintf("job%d", worker%8)
			phase := 2*math.Pi*float64(i)*reportInterval.Seconds()/14 + float64(worker%8)
			own := 5 * (1 - 0.45*(1+0.5*math.Sin(phase)))
			image := images[(i/6+worker)%len(images)]
			w := &colocate.Worker{}
			effect := 0.0
			if (i/6+worker)%5 != 0 {
				w.BestEffort = []colocate.BestEffortTask{bestEffort(image, true)}
				effect = effects[image] * 0.1
			}
			w.Serving = []colocate.Serving{serving(step, own-effect, 0)}
			m.Learn(now, w)
		}
	}
	w := &colocate.Worker{Serving: []colocate.Serving{serving("job0", 2.5, 0)}}
	for _, image := range images {
		got := m.ImpactOf(m.SlackBudgets(now, w), image, 0.1).Effect
		if want := effects[image] * 0.1; !(math.Abs(got-want) <= 0.2) {
			t.Errorf("effect of %s on the slack %.2f, want %.2f", image, got, want)
		}
	}
}

// TestTrendWithReportGaps checks that estimates stay finite if reports arrive
// in bursts.
func TestTrendWithReportGaps(t *testing.T) {
	m, now := trainedModel()
	for i := range 400 {
		gap := time.Duration(1+(i*7919)%5000) * time.Millisecond
		now = now.Add(gap)
		slack := 2.5 + math.Sin(float64(i))
		w := &colocate.Worker{
			Serving:    []colocate.Serving{serving("gaps", slack, 0)},
			BestEffort: []colocate.BestEffortTask{bestEffort("high-impact", true)},
		}
		m.Learn(now, w)
		if impact := m.ImpactOf(m.SlackBudgets(now, w), "low-impact", 0.1); math.IsNaN(impact.Shortfall) || math.IsNaN(impact.Effect) {
			t.Fatalf("impact after %d reports %+v, want finite values", i+1, impact)
		}
	}
}

// TestNeedsFrequentPolls checks that a worker with a new best-effort task or a
// long tail is polled frequently, and others aren't.
func TestNeedsFrequentPolls(t *testing.T) {
	stable := colocate.Worker{Serving: []colocate.Serving{serving("a", 2.6, 0)}}
	settled, fresh, long := stable, stable, stable
	settled.BestEffort = []colocate.BestEffortTask{bestEffort("low-impact", true)}
	fresh.BestEffort = []colocate.BestEffortTask{{Image: "low-impact", CPUShare: 0.1, CPULimit: 100}}
	long.Serving = []colocate.Serving{serving("a", 1.1, 0)}
	long.BestEffort = settled.BestEffort
	for name, c := range map[string]struct {
		w    colocate.Worker
		want bool
	}{"no best-effort tasks": {stable, false}, "settled": {settled, false}, "new": {fresh, true}, "long tail": {long, true}} {
		if got := c.w.NeedsFrequentPolls(); got != c.want {
			t.Errorf("%s: frequent polls %v, want %v", name, got, c.want)
		}
	}
}

// TestInactiveClassesExpire checks that classes of past releases don't use up
// the bound on classes: effects on the last of 200 releases are learned as
// well as on the first.
func TestInactiveClassesExpire(t *testing.T) {
	m := colocate.NewModel()
	now := start
	for release := range 200 {
		now = now.Add(20 * time.Minute)
		class := fmt.Sprintf("watch-%d", release)
		own := serving(class, 2.6, 0)
		own.Class = class
		w := &colocate.Worker{Serving: []colocate.Serving{own}}
		for i := range 60 {
			now = now.Add(reportInterval)
			w.BestEffort, w.Serving[0].Tail = nil, tailOf(2.6)
			if i%8 >= 4 {
				w.BestEffort, w.Serving[0].Tail = []colocate.BestEffortTask{bestEffort("high-impact", true)}, tailOf(1.6)
			}
			m.Learn(now, w)
		}
		if got := m.Effect(class, "high-impact"); got < 6 {
			t.Fatalf("release %d: learned effect %.1f, want about 10", release, got)
		}
	}
	if got := len(m.Export()); got > 2 {
		t.Errorf("%d classes kept, want only those that reported recently", got)
	}
}

// TestClassBeyondLimitCountsAsUnknown checks that pairs of a class beyond the
// bound on classes get the prior effect, not none.
func TestClassBeyondLimitCountsAsUnknown(t *testing.T) {
	m := colocate.NewModel()
	for i := range 100 {
		class := fmt.Sprintf("watch-%d", i)
		if got := m.Effect(class, "new"); got < 2 {
			t.Fatalf("class %d: effect %.1f of an unknown pair, want the prior effect of 2", i, got)
		}
	}
}
