package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/mechanism"
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
	swings  map[workload.StepID]*SlackTrend
	lows    map[string]*low
	// without names what the policy leaves out, for experiments.
	without mechanism.Set
	// forgotAt is when steps were last dropped.
	forgotAt time.Time
}

const (
	// The effect on the slack of a filler that has all processors of a
	// worker. Pairs that disturb each other take 6 to 13 from it, others less
	// than 1.5, where the target is five times the idle tail, by regression
	// over 60,000 readings of tails on two deployments.
	// What isn't known yet is taken for rather quiet: with the mean of both
	// kinds, 4, pairs that don't disturb were never tried, and stayed unknown.
	anyEffect, anyVariance = 2.0, 9.0
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
	// classForgotten is how long a class is kept that reports nothing: longer
	// than a service is away for a new release, short enough that those of a
	// working day stay below the bound on classes of package interference.
	classForgotten = 10 * time.Minute
)

// NewModel returns a model that knows nothing.
func NewModel() *Model { return NewModelWithout(0) }

// NewModelWithout returns a model that knows nothing and leaves out some of the
// policy, for experiments.
func NewModelWithout(without mechanism.Set) *Model {
	classes := map[string]float64{}
	return &Model{
		without: without,
		effects: interference.NewModelWith(classes, 0, interference.Priors{
			AnyBatch:   interference.Prior{Mean: anyEffect, Variance: anyVariance},
			BatchClass: interference.Prior{Variance: classVariance},
			Drift:      effectDrift,
		}),
		classes: classes,
		pairs:   map[string]map[string]pairEffect{},
		swings:  map[workload.StepID]*SlackTrend{},
		lows:    map[string]*low{},
	}
}

// Export returns what is known of pairs, to be recalled by a later model. How
// steps swing is left out: it is learned again within a second.
func (m *Model) Export() []interference.ClassEstimate { return m.effects.Export() }

// Import takes in what another model has learned.
func (m *Model) Import(lessons []interference.ClassEstimate) {
	m.effects.Import(lessons)
	clear(m.pairs)
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
func (m *Model) swing(now time.Time, step workload.StepID) *SlackTrend {
	s := m.swings[step]
	if s == nil {
		s = &SlackTrend{}
		if len(m.swings) < maxSwings {
			m.swings[step] = s
		}
	}
	s.advance(now)
	return s
}

// forget drops the steps and classes that have reported nothing for long.
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
	for class := range m.classes {
		l := m.low(class)
		switch {
		case l.at.IsZero():
			l.at = now // placed and not heard of yet
		case now.Sub(l.at) > classForgotten:
			m.forgetClass(class)
		}
	}
}

// forgetClass drops all that is known of a class.
func (m *Model) forgetClass(class string) {
	delete(m.classes, class)
	delete(m.lows, class)
	delete(m.pairs, class)
	m.effects.Forget(class)
}
