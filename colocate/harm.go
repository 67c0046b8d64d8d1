package colocate

import (
	"math"
	"time"

	"github.com/fireflygate/fireflygate/mechanism"
)

const (
	// Margin is the slack above 1 that a placement must leave, beside one
	// deviation of the estimate: tails come in whole milliseconds and are rough
	// by some percent. With 0.15 and a look of 1.2 s fillers waited beside
	// workers that could bear them: on five days of trouble the worth of drafts
	// in time was 0.64, with these 0.72.
	Margin = 0.08
	// longestLook bounds how far ahead a task's own load is foreseen: until a
	// filler that turns out to disturb can have given way, a report of half a
	// second and the way of an order.
	longestLook = 700 * time.Millisecond
)

// noRoom is a slack beside which nothing fits.
const noRoom = -10.0

// Impact is what adding a task is expected to do to those who serve.
type Impact struct {
	// Shortfall is by how much the slack of the task that is worst off would be
	// below 1 and Margin, uncertainty counted in; 0 if it would not.
	Shortfall float64
	// Effect is the most that is taken from any task's slack.
	Effect float64
}

// SlackBudget is how much slack a step's tasks on a worker are expected to have left
// beside its fillers, all of them as busy as they can be, since they turn so
// within a second.
type SlackBudget struct {
	Class           string
	Slack, Variance float64
	// pairs are the effects on the class.
	pairs map[string]pairEffect
}

// SlackBudgets returns the room of each step that serves on the worker. It holds for
// all placements of a planning cycle, which weighs hundreds of them. Beside a
// tail over its target there is none, whatever the model expects: it has just
// proved wrong, and one filler after the other kept a tail over for 4 s.
func (m *Model) SlackBudgets(now time.Time, w *Worker) []SlackBudget {
	rooms := make([]SlackBudget, 0, len(w.Serving))
	closed := w.overFor() > 0 && !m.without.Has(mechanism.BlockOverTarget)
	for i := range w.Serving {
		s := &w.Serving[i]
		if w.sameBefore(i) {
			continue
		}
		slack, deviation := m.swings[s.Step].ahead(now, m.horizon(longestLook), m.low(s.Class).value())
		if closed {
			slack = noRoom
		}
		taken, variance := m.takenWhenBusy(s.Class, w)
		rooms = append(rooms, SlackBudget{
			Class: s.Class, Slack: slack - taken, Variance: deviation*deviation + variance, pairs: m.classPairs(s.Class),
		})
	}
	return rooms
}

// ImpactOf returns what a filler of the image that asks for part of the worker's
// processors would do to those who serve there.
func (m *Model) ImpactOf(rooms []SlackBudget, image string, part float64) Impact {
	var h Impact
	for i := range rooms {
		r := &rooms[i]
		e := m.pair(r.pairs, r.Class, image)
		mean, d := e.mean*part, e.deviation*part
		h.Shortfall = max(h.Shortfall, 1+Margin+math.Sqrt(r.Variance+d*d)-(r.Slack-mean))
		h.Effect = max(h.Effect, mean)
	}
	return h
}

// horizon returns how far ahead a load is foreseen.
func (m *Model) horizon(d time.Duration) time.Duration {
	if m.without.Has(mechanism.LoadForecast) {
		return 0
	}
	return d
}

// takenWhenBusy returns what the fillers take from a class's slack if all are
// as busy as they can be at their pace.
func (m *Model) takenWhenBusy(class string, w *Worker) (mean, variance float64) {
	for i := range w.BestEffort {
		f := &w.BestEffort[i]
		e, d := m.effect(class, f.Image, f.CPUShare*float64(f.CPULimit)/100)
		mean += e
		variance += d * d
	}
	return mean, variance
}

// EffectOn returns what the fillers of a worker would take from the slack of
// one more task that serves.
func (m *Model) EffectOn(w *Worker, class string) float64 {
	mean, _ := m.takenWhenBusy(class, w)
	return mean
}
