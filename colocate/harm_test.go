package colocate_test

import (
	"math"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
)

// TestQuietFillersThroughASwing replays serving tasks whose load swings by half
// within 20 s, so that their slack goes from 1.35 to 4.65, beside fillers that take
// 0.15 of it: a queue of drafts at its longest. Such a filler must find room but
// for the moments around the peak. With a margin of 0.15 and a look of 1.2 s
// ahead it found room at 69 of 80 moments.
func TestQuietFillersThroughASwing(t *testing.T) {
	m := colocate.NewModel()
	fitted, asked := 0, 0
	for i := range 160 {
		now := start.Add(time.Duration(i) * beat)
		own := 3 - 1.65*math.Sin(2*math.Pi*now.Sub(start).Seconds()/20)
		beside := colocate.Worker{
			Serving: []colocate.Serving{serving("a", own-0.15, 0)}, BestEffort: []colocate.BestEffortTask{filler("quiet", true)},
		}
		m.Learn(now, &beside)
		alone := colocate.Worker{Serving: []colocate.Serving{serving("a", own, 0)}}
		m.Learn(now, &alone)
		if i < 80 {
			continue // it learns in the first two swings
		}
		asked++
		if m.ImpactOf(m.SlackBudgets(now, &alone), "quiet", 0.1).Shortfall <= 0 {
			fitted++
		}
	}
	t.Logf("a quiet filler found room at %d of %d moments", fitted, asked)
	if fitted < asked*9/10 {
		t.Errorf("a quiet filler found room at %d of %d moments, want nine in ten", fitted, asked)
	}
}

// TestUnknownPairsAreTried lets a filler nothing is known of begin beside a task
// with slack to spare, since it is never known otherwise, and not beside one
// with little.
func TestUnknownPairsAreTried(t *testing.T) {
	for _, c := range []struct {
		slack float64
		fits  bool
	}{{1.9, true}, {1.5, false}} {
		m := colocate.NewModel()
		w := colocate.Worker{Serving: []colocate.Serving{serving("a", c.slack, 0)}}
		now := start
		for i := range 20 {
			now = start.Add(time.Duration(i) * beat)
			m.Learn(now, &w)
		}
		if fits := m.ImpactOf(m.SlackBudgets(now, &w), "new", 0.1).Shortfall <= 0; fits != c.fits {
			t.Errorf("beside a slack of %.1f an unknown filler fits: %v, want %v", c.slack, fits, c.fits)
		}
	}
}

// TestNothingJoinsATailOverTarget replays a tail that is over its target though
// the model expects much slack: one filler after the other was placed beside it,
// each for a second, and kept it over for as long as users bear it at all.
func TestNothingJoinsATailOverTarget(t *testing.T) {
	m, now := learned()
	w := colocate.Worker{Serving: []colocate.Serving{serving("a", 0.9, beat)}}
	if m.ImpactOf(m.SlackBudgets(now, &w), "quiet", 0.1).Shortfall <= 0 {
		t.Error("a filler fits beside a tail over its target")
	}
	w.Serving[0].OverTargetFor = 0
	if m.ImpactOf(m.SlackBudgets(now, &w), "quiet", 0.1).Shortfall > 0 {
		t.Error("a quiet filler doesn't fit beside a task with slack")
	}
}
