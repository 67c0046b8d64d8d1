package colocate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// Action is what to do about one filler.
type Action struct {
	Kind Kind
	// CPULimit is the share of its speed, in percent, for SetCPULimit.
	CPULimit int
}

// Kind says what an Action does.
type Kind uint8

// The kinds of action.
const (
	// Leave it as it is.
	NoAction Kind = iota
	// SetCPULimit slows it down, or lets it go on.
	SetCPULimit
	// Migrate stops it, so that it resumes elsewhere.
	Migrate
)

const (
	// ActionCooldown is how long a worker is left alone after an action: one window
	// of half a second and the way of an order and a report.
	ActionCooldown = 700 * time.Millisecond
	// reactTime is how far ahead a slack must hold: until the next report has
	// come and an order has shown its effect.
	reactTime = 900 * time.Millisecond
	// actBelow is the expected slack below which fillers give way, and
	// restoredSlack what they give way to.
	actBelow, restoredSlack = 1.08, 1.2
	// watchBelow is the slack below which a worker is looked at often.
	watchBelow = 1.5
	// resumeAbove is the least slack of all tasks beside a slowed filler for
	// it to go on, whatever the model expects: it may be mistaken.
	resumeAbove = 1.35
	// lastResortShare is the share of the users' bound on a tail over its
	// target after which all fillers beside it give way, blamed or not: early
	// enough that the effect shows within half of the bound.
	lastResortShare = 0.25
	// leastEffect is the least that a filler must take from a slack to be
	// acted on; below it the tail is of the task's own making.
	leastEffect = 0.04
	// slowestPace is the pace below which a filler is rather moved, or
	// stopped altogether if it can't save.
	slowestPace = 30
	// restartPercent is the progress below which a filler that can't save is
	// rather begun anew elsewhere than slowed here.
	restartPercent = 40
)

// Actions decides about each filler of a worker, in their order. The caller
// leaves Patience between two decisions that act; bound is how long a tail may
// be over its target at all. As many fillers are acted on as restore the slack
// of the task that is worst off, those that take most from it first.
func (m *Model) Actions(now time.Time, w *Worker, bound time.Duration) []Action {
	actions := m.decide(now, w, bound)
	m.restrict(w, actions)
	return actions
}

// decide is Guard with the whole policy.
func (m *Model) decide(now time.Time, w *Worker, bound time.Duration) []Action {
	actions := make([]Action, len(w.BestEffort))
	if len(w.BestEffort) == 0 {
		return actions
	}
	if w.overFor() >= time.Duration(lastResortShare*float64(bound)) {
		for i := range w.BestEffort {
			actions[i] = w.BestEffort[i].giveWay(0)
		}
		return actions
	}
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail > 0 && !w.sameBefore(i) {
			m.relieve(w, s, actions)
		}
	}
	if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind != NoAction }) {
		m.resume(now, w, actions)
	}
	return actions
}

// restrict replaces the actions that the policy leaves out.
func (m *Model) restrict(w *Worker, actions []Action) {
	for i, a := range actions {
		switch {
		case a.Kind == Migrate && m.without.Has(mechanism.Moving):
			actions[i] = Action{Kind: SetCPULimit}
		case a.Kind == SetCPULimit && a.CPULimit > 0 && a.CPULimit < fullPace && m.without.Has(mechanism.CPULimits):
			actions[i] = w.BestEffort[i].giveWay(0)
		}
	}
}

// fullPace is the pace of a filler that nothing slows, in percent.
const fullPace = 100

// overFor returns how long the worst tail has been over its target.
func (w *Worker) overFor() time.Duration {
	longest := time.Duration(0)
	for i := range w.Serving {
		longest = max(longest, w.Serving[i].OverTargetFor)
	}
	return longest
}

// soon returns the least slack to expect of a serving task until an order can
// show its effect.
func (m *Model) soon(s *Serving) float64 {
	return s.Slack() - m.swings[s.Step].fall(m.horizon(reactTime), m.low(s.Class).value())
}

// relieve has fillers give way until a serving task's slack is restored.
func (m *Model) relieve(w *Worker, s *Serving, actions []Action) {
	slack := m.soon(s)
	if slack >= actBelow {
		return
	}
	need := restoredSlack - slack
	for _, f := range m.blamed(w, s.Class) {
		if need <= 0 {
			return
		}
		if actions[f.at].Kind == NoAction {
			filler := &w.BestEffort[f.at]
			actions[f.at] = filler.giveWay(filler.paceFor(s, need/f.effect))
		}
		need -= f.effect
	}
}

// paceFor returns the pace at which the filler gives up the share of its
// effect that a serving task needs. Once the tail is over its target the
// estimate has proved wrong, and the filler gives up all: slowed to a pace
// held to be enough, one kept a tail over its target for 4 s.
func (f *BestEffortTask) paceFor(s *Serving, share float64) int {
	if s.OverTargetFor > 0 || s.Slack() < 1 {
		return 0
	}
	return int(float64(f.CPULimit) * (1 - share))
}

// blamed is a filler and what it takes from a slack.
type blamed struct {
	at     int
	effect float64
}

// blamed returns the fillers that take something from a class's slack, those
// that take most first.
func (m *Model) blamed(w *Worker, class string) []blamed {
	var all []blamed
	for i := range w.BestEffort {
		f := &w.BestEffort[i]
		e, d := m.effect(class, f.Image, f.press())
		if e+d/2 >= leastEffect && f.CPULimit > 0 {
			all = append(all, blamed{i, e + d/2})
		}
	}
	slices.SortStableFunc(all, func(a, b blamed) int { return cmp.Compare(b.effect, a.effect) })
	return all
}

// giveWay returns how a filler makes room: by going on at a pace that still is
// worth it, else by resuming elsewhere if that loses little.
func (f *BestEffortTask) giveWay(pace int) Action {
	switch {
	case pace >= slowestPace:
		return Action{Kind: SetCPULimit, CPULimit: pace}
	case f.Resumable || f.ProgressPercent < restartPercent:
		return Action{Kind: Migrate}
	case f.CPULimit == 0:
		return Action{}
	default:
		return Action{Kind: SetCPULimit}
	}
}

// resume lets one slowed filler go on at full speed if all tasks can bear it.
func (m *Model) resume(now time.Time, w *Worker, actions []Action) {
	if w.leastSlack() < resumeAbove {
		return
	}
	for i := range w.BestEffort {
		f := &w.BestEffort[i]
		if f.CPULimit == fullPace {
			continue
		}
		rest := *w
		rest.BestEffort = slices.Delete(slices.Clone(w.BestEffort), i, i+1)
		if m.ImpactOf(m.SlackBudgets(now, &rest), f.Image, f.CPUShare).Shortfall <= 0 {
			actions[i] = Action{Kind: SetCPULimit, CPULimit: fullPace}
			return
		}
	}
}

// leastSlack returns the slack of the task that is worst off, as reported;
// any amount where nobody serves. Tasks that don't serve yet have none.
func (w *Worker) leastSlack() float64 {
	least := math.Inf(1)
	for i := range w.Serving {
		least = min(least, w.Serving[i].Slack())
	}
	return least
}

// NeedsFrequentPolls reports whether the worker's tails may pass a target soon, so that it
// should be looked at often: a tail is long, or a filler is new.
func (w *Worker) NeedsFrequentPolls() bool {
	if len(w.Serving) == 0 || len(w.BestEffort) == 0 {
		return false
	}
	for i := range w.Serving {
		if s := &w.Serving[i]; s.Tail > 0 && s.Slack() < watchBelow {
			return true
		}
	}
	return w.Unsettled()
}
