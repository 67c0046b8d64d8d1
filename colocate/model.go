package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/workload"
)

// Model is what was learned from the tails of serving tasks.
type Model struct {
	// effects holds what fillers take from the slack of a class, pairs what it
	// says of pairs since a class was last learned of.
	effects *interference.Model
	pairs   map[string]map[string]pairEffect
	// classes are the classes that effects knows, as its objectives.
	classes map[string]float64
	swings  map[workload.StepID]*Swing
	lows    map[string]*low
	// forgotAt is when steps were last dropped.
	forgotAt time.Time
}

const (
	// The effect on the slack of a filler that has all processors of a
	// worker. Pairs that disturb each other take 6 to 13 from it, others less
	// than 1.5, where the target is five times the idle tail, by regression
	// over 60,000 reports of two deployments.
	anyEffect, anyVariance = 4.0, 9.0
	classVariance          = 16.0
	// effectDrift lets a pair's effect of some 10 change by 1 within 500
	// reports, half a minute of a class on a dozen workers.
	effectDrift = 0.002
	// reportNoise is the deviation of a slack as reported, relativeNoise the
	// part of it that grows with the slack: tails come in whole milliseconds.
	reportNoise, relativeNoise = 0.05, 0.04
	// maxSwings bounds the steps followed; at the size to come some 18,000
	// serving tasks run in steps of about ten.
	maxSwings = 4096
	// swingForgotten is how long a step that reports nothing is kept.
	swingForgotten = 30 * time.Second
)

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	classes := map[string]float64{}
	return &Model{
		effects: interference.NewModelWith(classes, 0, interference.Priors{
			Any:   interference.Prior{Mean: anyEffect, Variance: anyVariance},
			Class: interference.Prior{Variance: classVariance},
			Drift: effectDrift,
		}),
		classes: classes,
		pairs:   map[string]map[string]pairEffect{},
		swings:  map[workload.StepID]*Swing{},
		lows:    map[string]*low{},
	}
}

// effect returns what a filler that disturbs by so much of a worker takes from
// a class's slack, and the deviation of the estimate.
func (m *Model) effect(class, image string, press float64) (mean, deviation float64) {
	e := m.pair(m.classPairs(class), class, image)
	return e.mean * press, e.deviation * press
}

// classPairs returns the effects on a class as far as they are worked out.
func (m *Model) classPairs(class string) map[string]pairEffect {
	images := m.pairs[class]
	if images == nil {
		m.know(class)
		images = map[string]pairEffect{}
		m.pairs[class] = images
	}
	return images
}

// pair returns the effect of an image on a class, and keeps it in images.
func (m *Model) pair(images map[string]pairEffect, class, image string) pairEffect {
	e, known := images[image]
	if !known {
		e.mean, e.deviation = m.effects.Blame(class, image, 1)
		e.mean = max(e.mean, 0)
		images[image] = e
	}
	return e
}

// pairEffect is the effect of a filler that disturbs by a whole worker. It is
// proportional to the part.
type pairEffect struct{ mean, deviation float64 }

// Effect returns what a filler of the image that had all processors of a
// worker is estimated to take from a class's slack.
func (m *Model) Effect(class, image string) float64 {
	mean, _ := m.effect(class, image, 1)
	return mean
}

// know makes the class one that effects are learned of.
func (m *Model) know(class string) {
	if m.classes[class] == 0 {
		m.classes[class] = 1
	}
}

// Loudest returns the most that a filler of the image is estimated to take
// from any class's slack if it had all processors of a worker.
func (m *Model) Loudest(image string) float64 {
	loudest := 0.0
	for class := range m.classes {
		loudest = max(loudest, m.Effect(class, image))
	}
	return loudest
}

// Lessons returns what is known of pairs, to be recalled by a later model. How
// steps swing is left out: it is learned again within a second.
func (m *Model) Lessons() []interference.Lesson { return m.effects.Lessons() }

// Recall takes in what another model has learned.
func (m *Model) Recall(lessons []interference.Lesson) {
	m.effects.Recall(lessons)
	clear(m.pairs)
}

// Learn takes in what a worker reported: the tails there while its fillers
// used what they did. Both figures are of the same half second.
func (m *Model) Learn(now time.Time, w *Worker) {
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
		if len(load.Batch) > 0 {
			passing, extra := m.passing(s.Class, w)
			m.effects.Observe(s.Class, load, swing.level-slack-passing, swing.levelVar+extra+noiseOf(slack))
			delete(m.pairs, s.Class)
		}
	}
	m.forget(now)
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
	for i := range w.Fillers {
		if f := &w.Fillers[i]; f.Settled {
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
	add := func(f *Filler) {
		e, d := m.effect(class, f.Image, f.Part)
		mean += e / 2
		variance += (d + e/2) * (d + e/2)
	}
	for i := range w.Fillers {
		if !w.Fillers[i].Settled {
			add(&w.Fillers[i])
		}
	}
	for i := range w.Leaving {
		add(&w.Leaving[i])
	}
	return mean, variance
}

// low returns how far the class falls and begins to follow it if need be.
func (m *Model) low(class string) *low {
	l := m.lows[class]
	if l == nil {
		l = &low{}
		m.lows[class] = l
	}
	return l
}

// swing returns the step's swing and begins one if need be.
func (m *Model) swing(now time.Time, step workload.StepID) *Swing {
	s := m.swings[step]
	if s == nil {
		s = &Swing{}
		if len(m.swings) < maxSwings {
			m.swings[step] = s
		}
	}
	s.advance(now)
	return s
}

// forget drops the steps that have reported nothing for long.
func (m *Model) forget(now time.Time) {
	if now.Sub(m.forgotAt) < swingForgotten {
		return
	}
	m.forgotAt = now
	for step, s := range m.swings {
		if now.Sub(s.at) > swingForgotten {
			delete(m.swings, step)
		}
	}
}
