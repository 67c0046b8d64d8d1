package colocate

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

// Learn takes in what a worker reported: the tails there while its fillers
// used what they did. Both figures are of the same half second.
func (m *Model) Learn(now time.Time, w *Worker) {
	if m.turnedSlow(now, w) {
		return
	}
	load := w.load()
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 || w.sameBefore(i) {
			continue
		}
		m.know(s.Class)
		slack := w.meanSlack(s)
		taken, variance := m.taken(s.Class, w)
		swing := m.swing(now, s.Step)
		swing.observe(now, slack+taken, noiseOf(slack)+variance)
		m.low(s.Class).observe(swing)
		if len(load.Batch) > 0 && !m.without.Has(mechanism.PairEffects) {
			passing, extra := m.passing(s.Class, w)
			m.effects.Observe(s.Class, load, swing.level-slack-passing, swing.levelVar+extra+noiseOf(slack))
			delete(m.pairs, s.Class)
		}
	}
	m.forget(now)
}

// slowDeviations is how many deviations the tails of all steps on a worker must
// be beyond what is expected for the worker to count as slow: one reading in
// thousands by chance, while a worker that runs at a quarter of its speed shows
// some ten.
const slowDeviations = 4.0

// turnedSlow reports whether all tails of a worker are longer than its fillers
// and the load of its tasks explain: it has turned slow, and teaches nothing of
// either. Learned from all the same, a twentieth of the workers at a quarter of
// their speed had fillers count as disturbers everywhere: the worth of two days
// with such workers was 0.71, without 0.72 (each of four plays better).
func (m *Model) turnedSlow(now time.Time, w *Worker) bool {
	steps := 0
	for i := range w.Serving {
		s := &w.Serving[i]
		if s.Tail == 0 || w.sameBefore(i) {
			continue
		}
		swing := m.swings[s.Step]
		if swing == nil || swing.at.IsZero() {
			return false
		}
		slack := w.meanSlack(s)
		taken, variance := m.taken(s.Class, w)
		level, deviation := swing.ahead(now, 0, 0)
		unexplained := level - taken - slack
		if unexplained < slowDeviations*math.Sqrt(deviation*deviation+variance+noiseOf(slack)) {
			return false
		}
		steps++
	}
	return steps > 0
}

// noiseOf returns the variance of a reported slack.
func noiseOf(slack float64) float64 {
	n := reportNoise + relativeNoise*slack
	return n * n
}

// sameBefore reports whether a serving task of the same step stands before the
// i-th: tasks of a step on one worker have the same tail.
func (w *Worker) sameBefore(i int) bool {
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

// taken returns what the worker's fillers take from a class's slack, as the
// last report shows it, and the variance of the estimate.
func (m *Model) taken(class string, w *Worker) (mean, variance float64) {
	for i := range w.BestEffort {
		if f := &w.BestEffort[i]; f.Settled {
			e, d := m.effect(class, f.Image, f.press())
			mean += e
			variance += d * d
		}
	}
	more, extra := m.passing(class, w)
	return mean + more, variance + extra
}

// passing is taken for the fillers that are not, or no longer, at work for the
// whole window of a report: about half of their effect shows.
func (m *Model) passing(class string, w *Worker) (mean, variance float64) {
	add := func(f *BestEffortTask) {
		e, d := m.effect(class, f.Image, f.CPUShare)
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
