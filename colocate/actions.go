package colocate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// Action is a decision about one best-effort task.
type Action struct {
	Kind Kind
	// CPULimit applies to SetCPULimit, in percent; 0 pauses the task.
	CPULimit int
}

// Kind is the kind of an Action.
type Kind uint8

const (
	// NoAction leaves the task as it is.
	NoAction Kind = iota
	// SetCPULimit changes the CPU limit of the task.
	SetCPULimit
	// Migrate stops the task, so that it resumes on another worker.
	Migrate
)

const (
	// ActionCooldown is the least time between two actions on a worker: one
	// report window plus the delivery of an order and of a report.
	ActionCooldown = 700 * time.Millisecond
	// reactionTime is the horizon of slack forecasts: the time until the next
	// report arrives and an order shows its effect.
	reactionTime = 900 * time.Millisecond
	// Best-effort tasks are limited when the expected slack is below
	// actionSlack, by as much as restores it to restoredSlack.
	actionSlack, restoredSlack = 1.08, 1.2
	// frequentPollSlack is the slack below which a worker is polled
	// frequently.
	frequentPollSlack = 1.5
	// resumeSlack is the least slack of all serving tasks on the worker at
	// which a limited task may resume, whatever the model predicts.
	resumeSlack = 1.35
	// lastResortShare is the share of the bound on the time over target after
	// which all best-effort tasks of the worker are limited, whatever their
	// estimated effect.
	lastResortShare = 0.25
	// minEffect is the least effect on a slack for which a task is acted on;
	// below it the tail is due to the serving task's own load.
	minEffect = 0.04
	// minCPULimit is the CPU limit below which a task is migrated, or paused
	// if it isn't resumable.
	minCPULimit = 30
	// restartPercent is the progress below which a task that isn't resumable
	// is restarted on another worker rather than paused.
	restartPercent = 40
)

// Actions returns an action for each of w.BestEffort, in order. Callers wait
// ActionCooldown between two calls whose actions they apply; bound is the
// longest time that a tail may be over its target. Tasks with the largest
// effect are acted on first, as many as restore the expected slack of each
// serving task.
func (m *Model) Actions(now time.Time, w *Worker, bound time.Duration) []Action {
	actions := m.decide(now, w, bound)
	m.replaceDisabled(w, actions)
	return actions
}

// decide returns the actions of the full policy, with no mechanism disabled.
func (m *Model) decide(now time.Time, w *Worker, bound time.Duration) []Action {
	actions := make([]Action, len(w.BestEffort))
	if len(w.BestEffort) == 0 {
		return actions
	}
	if w.longestOverTarget() >= time.Duration(lastResortShare*float64(bound)) {
		for i := range w.BestEffort {
			actions[i] = w.BestEffort[i].throttleOrMigrate(0)
		}
		return actions
	}
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail > 0 && !w.isRepeatedStep(i) {
			m.restoreSlack(w, s, actions)
		}
	}
	if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind != NoAction }) {
		m.resumeOne(now, w, actions)
	}
	return actions
}

// replaceDisabled replaces those of the actions that belong to disabled
// mechanisms, in place.
func (m *Model) replaceDisabled(w *Worker, actions []Action) {
	for i, a := range actions {
		switch {
		case a.Kind == Migrate && m.disabled.Has(mechanism.Moving):
			actions[i] = Action{Kind: SetCPULimit}
		case a.Kind == SetCPULimit && a.CPULimit > 0 && a.CPULimit < fullCPU && m.disabled.Has(mechanism.CPULimits):
			actions[i] = w.BestEffort[i].throttleOrMigrate(0)
		}
	}
}

// fullCPU is the CPU limit, in percent, of a task that isn't limited.
const fullCPU = 100

// longestOverTarget returns the longest time that a tail has been over its
// target.
func (w *Worker) longestOverTarget() time.Duration {
	longest := time.Duration(0)
	for i := range w.Serving {
		longest = max(longest, w.Serving[i].OverTargetFor)
	}
	return longest
}

// expectedSlack returns the least slack to expect of a serving task within
// reactionTime.
func (m *Model) expectedSlack(s *Serving) float64 {
	return s.Slack() - m.trends[s.Step].expectedDrop(m.horizon(reactionTime), m.slackFloor(s.Class).value())
}

// restoreSlack adds actions on best-effort tasks until the expected slack of the
// serving task s is restored. It leaves actions that are set already.
func (m *Model) restoreSlack(w *Worker, s *Serving, actions []Action) {
	slack := m.expectedSlack(s)
	if slack >= actionSlack {
		return
	}
	need := restoredSlack - slack
	for _, c := range m.contributors(w, s.Class) {
		if need <= 0 {
			return
		}
		if actions[c.index].Kind == NoAction {
			t := &w.BestEffort[c.index]
			actions[c.index] = t.throttleOrMigrate(t.cpuLimitFor(s, need/c.effect))
		}
		need -= c.effect
	}
}

// cpuLimitFor returns the CPU limit at which the task gives up the given share
// of its effect on s. If the tail is over its target the estimate has been too
// low, and the limit is 0.
func (t *BestEffortTask) cpuLimitFor(s *Serving, share float64) int {
	if s.OverTargetFor > 0 || s.Slack() < 1 {
		return 0
	}
	return int(float64(t.CPULimit) * (1 - share))
}

// contributor is the index of a best-effort task and its effect on a slack.
type contributor struct {
	index  int
	effect float64
}

// contributors returns the best-effort tasks that affect a class by at least
// minEffect and aren't paused, the largest effect first.
func (m *Model) contributors(w *Worker, class string) []contributor {
	var all []contributor
	for i := range w.BestEffort {
		t := &w.BestEffort[i]
		e, d := m.effect(class, t.Image, t.pressure())
		if e+d/2 >= minEffect && t.CPULimit > 0 {
			all = append(all, contributor{i, e + d/2})
		}
	}
	slices.SortStableFunc(all, func(a, b contributor) int { return cmp.Compare(b.effect, a.effect) })
	return all
}

// throttleOrMigrate returns the action that lowers a task's CPU limit to the
// given percentage; below minCPULimit the task is migrated if that loses
// little work, else paused.
func (t *BestEffortTask) throttleOrMigrate(percent int) Action {
	switch {
	case t.CPULimit == 0:
		return Action{}
	case percent >= minCPULimit:
		return Action{Kind: SetCPULimit, CPULimit: percent}
	case t.Resumable || t.ProgressPercent < restartPercent:
		return Action{Kind: Migrate}
	default:
		return Action{Kind: SetCPULimit}
	}
}

// resumeOne adds an action that removes the CPU limit of one best-effort task, if
// the slack of all serving tasks allows it, or else raises that of a paused one to the least.
func (m *Model) resumeOne(now time.Time, w *Worker, actions []Action) {
	if w.minSlack() < resumeSlack {
		return
	}
	for i := range w.BestEffort {
		t := &w.BestEffort[i]
		if t.CPULimit == fullCPU {
			continue
		}
		rest := *w
		rest.BestEffort = slices.Delete(slices.Clone(w.BestEffort), i, i+1)
		budgets := m.SlackBudgets(now, &rest)
		for _, limit := range []int{fullCPU, minCPULimit} {
			if limit > t.CPULimit && m.ImpactOf(budgets, t.Image, t.CPUShare*float64(limit)/fullCPU).Shortfall <= 0 {
				actions[i] = Action{Kind: SetCPULimit, CPULimit: limit}
				return
			}
		}
	}
}

// minSlack returns the least reported slack of the serving tasks, 0 if one
// doesn't serve yet and +Inf if there are none.
func (w *Worker) minSlack() float64 {
	least := math.Inf(1)
	for i := range w.Serving {
		least = min(least, w.Serving[i].Slack())
	}
	return least
}

// NeedsFrequentPolls reports whether a tail may soon exceed its target: one is
// close to it, or the effect of a best-effort task hasn't been reported yet.
func (w *Worker) NeedsFrequentPolls() bool {
	if len(w.Serving) == 0 || len(w.BestEffort) == 0 {
		return false
	}
	for i := range w.Serving {
		if s := &w.Serving[i]; s.Tail > 0 && s.Slack() < frequentPollSlack {
			return true
		}
	}
	return w.Unsettled()
}
