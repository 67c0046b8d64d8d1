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
	if !m.isSlow(now, w) {
		m.learn(now, w, true)
	}
}

// LearnEffects is Learn for a worker that may be slow: it learns the effects of the
// best-effort tasks, but not the slack that the steps have elsewhere too.
func (m *Model) LearnEffects(now time.Time, w *Worker) {
	if !m.isSlow(now, w) {
		m.learn(now, w, false)
	}
}

func (m *Model) learn(now time.Time, w *Worker, withTrends bool) {
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
		if withTrends {
			trend.observe(now, slack+currentEffect, slackNoise(slack)+variance)
			m.slackFloor(s.Class).observe(trend)
		}
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
	return m.Slowdown(now, w).Unexplained
}

// Slowdown compares a worker's tails with what its best-effort tasks and the load of its
// steps let expect.
type Slowdown struct {
	// Ratio is how many times as long the tails are: the least ratio over the steps, up
	// to the first that is explained. It is 0 if it isn't known: no tail was reported,
	// nothing is known of a step, or the effect of the best-effort tasks is uncertain.
	Ratio float64
	// Unexplained is set if the tails of all steps are longer than expected by
	// slowDeviations.
	Unexplained bool
}

// maxUncertainty is the largest standard deviation of an expected slack, as a share of
// it, with which a Ratio is known. Twice that is half of the slack.
const maxUncertainty = 0.25

// Slowdown returns the slowdown that the last report of a worker shows.
func (m *Model) Slowdown(now time.Time, w *Worker) Slowdown {
	ratio, certain := math.Inf(1), true
	steps := 0
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 || w.isRepeatedStep(i) {
			continue
		}
		trend := m.trends[s.Step]
		if trend == nil || trend.updatedAt.IsZero() {
			return Slowdown{}
		}
		slack := w.meanSlack(s)
		currentEffect, variance := m.currentEffect(s.Class, w)
		level, deviation := trend.forecast(now, 0, 0)
		expected := level - currentEffect
		variance += deviation * deviation
		ratio = min(ratio, expected/slack)
		certain = certain && math.Sqrt(variance) <= maxUncertainty*expected
		if expected-slack < slowDeviations*math.Sqrt(variance+slackNoise(slack)) {
			return Slowdown{Ratio: knownRatio(ratio, certain)}
		}
		steps++
	}
	if steps == 0 {
		return Slowdown{}
	}
	return Slowdown{Ratio: knownRatio(ratio, certain), Unexplained: true}
}

func knownRatio(ratio float64, certain bool) float64 {
	if !certain || ratio <= 0 {
		return 0
	}
	return ratio
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
