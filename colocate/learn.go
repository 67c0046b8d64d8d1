package colocate

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// Learn updates the model with a worker's report: its tails and the
// utilization of its best-effort tasks over the same window. A report is
// ignored if the worker seems to be slow for other reasons.
func (m *Model) Learn(now time.Time, w *Worker) {
	if m.isSlow(now, w) {
		return
	}
	load := w.load()
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 || w.isRepeatedStep(i) {
			continue
		}
		m.registerClass(s.Class)
		slack := w.meanSlack(s)
		currentEffect, variance := m.currentEffect(s.Class, w)
		trend := m.trend(now, s.Step)
		trend.observe(now, slack+currentEffect, slackNoise(slack)+variance)
		m.slackFloor(s.Class).observe(trend)
		if len(load.Batch) > 0 && !m.disabled.Has(mechanism.PairEffects) {
			transientEffect, transientVar := m.transientEffect(s.Class, w)
			m.effects.Observe(s.Class, load, trend.level-slack-transientEffect, trend.levelVar+transientVar+slackNoise(slack))
			delete(m.pairEffects, s.Class)
		}
	}
	m.expire(now)
}

// slowDeviations is the number of deviations by which the slack of all steps
// on a worker must fall short of the prediction for the worker to count as
// slow. By chance that is one reading in thousands; a worker at a quarter of its
// speed falls short by about ten.
const slowDeviations = 4.0

// isSlow reports whether all tails of a worker are longer than its best-effort
// tasks and its own load explain. Such a worker runs slowly for other reasons,
// so its reports would distort the estimates.
func (m *Model) isSlow(now time.Time, w *Worker) bool {
	steps := 0
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 || w.isRepeatedStep(i) {
			continue
		}
		trend := m.trends[s.Step]
		if trend == nil || trend.updatedAt.IsZero() {
			return false
		}
		slack := w.meanSlack(s)
		currentEffect, variance := m.currentEffect(s.Class, w)
		level, deviation := trend.forecast(now, 0, 0)
		unexplained := level - currentEffect - slack
		if unexplained < slowDeviations*math.Sqrt(deviation*deviation+variance+slackNoise(slack)) {
			return false
		}
		steps++
	}
	return steps > 0
}

// slackNoise returns the variance of a reported slack.
func slackNoise(slack float64) float64 {
	n := reportNoise + relativeNoise*slack
	return n * n
}

// isRepeatedStep reports whether a serving task of the same step that has a tail
// precedes the i-th. One of them is enough, since the tasks of a step on one
// worker have the same tail.
func (w *Worker) isRepeatedStep(i int) bool {
	for j := range i {
		if w.Serving[j].Step == w.Serving[i].Step && w.Serving[j].Tail > 0 {
			return true
		}
	}
	return false
}

// meanSlack returns the mean slack of the step's tasks on the worker.
func (w *Worker) meanSlack(of *Serving) float64 {
	sum, n := 0.0, 0.0
	for i := range w.Serving {
		if s := &w.Serving[i]; s.Step == of.Step && s.Tail > 0 {
			sum += s.Slack()
			n++
		}
	}
	return sum / n
}

// currentEffect returns the effect of the worker's best-effort tasks on a
// class in the last report, and the variance of the estimate.
func (m *Model) currentEffect(class string, w *Worker) (mean, variance float64) {
	for i := range w.BestEffort {
		if t := &w.BestEffort[i]; t.Settled {
			e, d := m.effect(class, t.Image, t.pressure())
			mean += e
			variance += d * d
		}
	}
	more, extra := m.transientEffect(class, w)
	return mean + more, variance + extra
}

// transientEffect is the part of currentEffect that is due to tasks that started
// or ended within the report window; half of their full effect is counted.
func (m *Model) transientEffect(class string, w *Worker) (mean, variance float64) {
	add := func(t *BestEffortTask) {
		e, d := m.effect(class, t.Image, t.CPUShare)
		mean += e / 2
		variance += (d + e/2) * (d + e/2)
	}
	for i := range w.BestEffort {
		if !w.BestEffort[i].Settled {
			add(&w.BestEffort[i])
		}
	}
	for i := range w.RecentlyEnded {
		add(&w.RecentlyEnded[i])
	}
	return mean, variance
}
