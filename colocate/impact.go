package colocate

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// Margin is the slack above 1 that a placement must leave, in addition to
	// one deviation of the estimate.
	Margin = 0.08
	// maxHorizon is the horizon of load forecasts for a placement: the time
	// until a task with a large effect can be limited, which takes a report
	// window and the delivery of an order.
	maxHorizon = 700 * time.Millisecond
)

// noSlack is a slack with which no best-effort task fits.
const noSlack = -10.0

// Impact is the expected effect of an additional task on serving tasks.
type Impact struct {
	// Shortfall is how far the least slack, less its uncertainty, would fall
	// below 1+Margin; 0 if it stays above.
	Shortfall float64
	// Effect is the largest amount taken from the slack of any serving task.
	Effect float64
}

// SlackBudget is the slack that a step's tasks on a worker are expected to
// have left if the best-effort tasks there use all processors that they may.
type SlackBudget struct {
	Class           string
	Slack, Variance float64
	// pairs holds the effects on the class by image.
	pairs map[string]pairEffect
}

// SlackBudgets returns the budget of each step that serves on the worker. The
// result can be used for all placements of a planning cycle. If a tail is over
// its target no budget has slack, whatever the model predicts.
func (m *Model) SlackBudgets(now time.Time, w *Worker) []SlackBudget {
	budgets := make([]SlackBudget, 0, len(w.Serving))
	overTarget := w.longestOverTarget() > 0 && !m.disabled.Has(mechanism.BlockOverTarget)
	for i := range w.Serving {
		s := &w.Serving[i]
		if w.isRepeatedStep(i) {
			continue
		}
		slack, deviation := m.trends[s.Step].forecast(now, m.horizon(maxHorizon), m.slackFloor(s.Class).value())
		if overTarget {
			slack = noSlack
		}
		effect, variance := m.peakEffect(s.Class, w)
		budgets = append(budgets, SlackBudget{
			Class: s.Class, Slack: slack - effect, Variance: deviation*deviation + variance, pairs: m.classPairs(s.Class),
		})
	}
	return budgets
}

// ImpactOf returns the impact of a best-effort task of the image that requests
// the given share of the worker's processors.
func (m *Model) ImpactOf(budgets []SlackBudget, image string, cpuShare float64) Impact {
	var impact Impact
	for i := range budgets {
		budget := &budgets[i]
		e := m.pair(budget.pairs, budget.Class, image)
		mean, d := e.mean*cpuShare, e.deviation*cpuShare
		impact.Shortfall = max(impact.Shortfall, 1+Margin+math.Sqrt(budget.Variance+d*d)-(budget.Slack-mean))
		impact.Effect = max(impact.Effect, mean)
	}
	return impact
}

// horizon returns d, or 0 if load forecasts are disabled.
func (m *Model) horizon(d time.Duration) time.Duration {
	if m.disabled.Has(mechanism.LoadForecast) {
		return 0
	}
	return d
}

// peakEffect returns the effect of the worker's best-effort tasks on a class
// if each uses all processors that its CPU limit allows.
func (m *Model) peakEffect(class string, w *Worker) (mean, variance float64) {
	for i := range w.BestEffort {
		t := &w.BestEffort[i]
		e, d := m.effect(class, t.Image, t.CPUShare*float64(t.CPULimit)/100)
		mean += e
		variance += d * d
	}
	return mean, variance
}

// EffectOn returns the effect of a worker's best-effort tasks on the slack of
// an additional serving task of the class.
func (m *Model) EffectOn(w *Worker, class string) float64 {
	mean, _ := m.peakEffect(class, w)
	return mean
}
