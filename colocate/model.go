package colocate

import (
	"time"

	"github.com/fireflygate/fireflygate/interference"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/workload"
)

// Model holds what is learned from the tails of serving tasks. It is not safe
// for concurrent use.
type Model struct {
	// effects estimates the effect of best-effort images on the slack of a
	// class; pairEffects caches its estimates by class and image until the
	// class is updated.
	effects     *interference.Model
	pairEffects map[string]map[string]pairEffect
	// classes holds the classes whose effects are learned. It is the map of
	// objectives that effects uses, in which the objective of each class is 1.
	classes map[string]float64
	trends  map[workload.StepID]*SlackTrend
	floors  map[string]*slackFloor
	// disabled is the set of mechanisms left out in experiments.
	disabled mechanism.Set
	// lastExpiry is when inactive steps and classes were last dropped.
	lastExpiry time.Time
}

const (
	// The prior effect on the slack of a best-effort task that has all
	// processors of a worker. It is nearer to that of low-impact images, since
	// images with a large prior would never be placed and so stay unknown.
	priorEffect, priorVariance = 2.0, 9.0
	priorClassVariance         = 16.0
	// effectDrift is the growth of an effect's variance per report. It lets a large
	// effect, of about 10, change by 1 within 500 reports.
	effectDrift = 0.002
	// The standard deviation of a reported slack is reportNoise plus
	// relativeNoise times the slack; tails are reported in whole milliseconds.
	reportNoise, relativeNoise = 0.05, 0.04
	// maxTrends bounds the steps that are tracked. 18,000 serving tasks in steps of
	// about ten stay below it.
	maxTrends = 4096
	// trendRetention is how long a step that doesn't report is kept.
	trendRetention = 30 * time.Second
	// classRetention is how long a class that doesn't report is kept: longer
	// than the restart of a service, short enough to stay below the bound on
	// classes of package interference.
	classRetention = 10 * time.Minute
)

// NewModel returns an untrained model.
func NewModel() *Model { return NewModelWithout(0) }

// NewModelWithout returns an untrained model with some mechanisms disabled.
func NewModelWithout(disabled mechanism.Set) *Model {
	classes := map[string]float64{}
	return &Model{
		disabled: disabled,
		effects: interference.NewModelWith(classes, 0, interference.Priors{
			AnyBatch:   interference.Prior{Mean: priorEffect, Variance: priorVariance},
			BatchClass: interference.Prior{Variance: priorClassVariance},
			Drift:      effectDrift,
		}),
		classes:     classes,
		pairEffects: map[string]map[string]pairEffect{},
		trends:      map[workload.StepID]*SlackTrend{},
		floors:      map[string]*slackFloor{},
	}
}

// Export returns the learned effects, for Import by another model. Slack
// trends aren't included: they are learned within seconds.
func (m *Model) Export() []interference.ClassEstimate { return m.effects.Export() }

// Import adds the effects learned by another model.
func (m *Model) Import(estimates []interference.ClassEstimate) {
	m.effects.Import(estimates)
	clear(m.pairEffects)
}

// slackFloor returns the class's slack floor, creating it if needed.
func (m *Model) slackFloor(class string) *slackFloor {
	f := m.floors[class]
	if f == nil {
		f = &slackFloor{}
		m.floors[class] = f
	}
	return f
}

// trend returns the step's slack trend, extrapolated to now. It creates the trend
// if needed, and keeps it unless maxTrends are kept already.
func (m *Model) trend(now time.Time, step workload.StepID) *SlackTrend {
	s := m.trends[step]
	if s == nil {
		s = &SlackTrend{}
		if len(m.trends) < maxTrends {
			m.trends[step] = s
		}
	}
	s.advance(now)
	return s
}

// expire drops steps and classes that haven't reported within their retention. It
// does so once per trendRetention.
func (m *Model) expire(now time.Time) {
	if now.Sub(m.lastExpiry) < trendRetention {
		return
	}
	m.lastExpiry = now
	for step, s := range m.trends {
		if now.Sub(s.updatedAt) > trendRetention {
			delete(m.trends, step)
		}
	}
	for class := range m.classes {
		f := m.slackFloor(class)
		switch {
		case f.updatedAt.IsZero():
			f.updatedAt = now // placed, but hasn't reported yet
		case now.Sub(f.updatedAt) > classRetention:
			m.removeClass(class)
		}
	}
}

func (m *Model) removeClass(class string) {
	delete(m.classes, class)
	delete(m.floors, class)
	delete(m.pairEffects, class)
	m.effects.Forget(class)
}
