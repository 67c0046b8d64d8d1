package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// tailWindow is what a worker's figures cover.
	tailWindow = 500 * time.Millisecond
	// harmTolerated is the expected harm up to which a filler is placed
	// beside serving tasks.
	harmTolerated = 0.05
	// quietBlame is what a filler of all processors may add to the logarithm
	// of a tail and still count as quiet. Pairs that disturb add 4 to 7,
	// others less than 2, by regression over 30,000 reports.
	quietBlame = 2.0
)

// colocation describes the worker to package colocate, with the runs behind
// the fillers in the same order.
func (w *worker) colocation(now time.Time) (*colocate.Worker, []*run) {
	c := &colocate.Worker{}
	var fillers []*run
	for _, r := range w.sortedRuns() {
		st := r.task.step
		switch {
		case st.class != "" && r.phase == running:
			s := colocate.Serving{Class: st.class, Target: st.spec.TailTarget}
			if r.percent >= 100 {
				s.Tail = time.Duration(r.usage) * time.Millisecond
			}
			if !r.tailOver.IsZero() {
				s.OverFor = now.Sub(r.tailOver)
			}
			c.Serving = append(c.Serving, s)
		case st.spec.Filler && r.phase != stopping:
			c.Fillers = append(c.Fillers, r.filler(now))
			fillers = append(fillers, r)
		}
	}
	return c, fillers
}

// filler describes a filling run.
func (r *run) filler(now time.Time) colocate.Filler {
	spec := r.task.step.spec
	return colocate.Filler{
		Image: spec.Image, Part: float64(r.fillerUse(now)) / float64(max(r.worker.info.Capacity.MilliCPU, 1)),
		Pace: max(r.pace, 0), Saves: spec.Checkpointing, Percent: r.percent, Settled: r.settled(now),
	}
}

// settled reports whether the last figures cover a whole window of the run.
func (r *run) settled(now time.Time) bool { return r.usage > 0 && now.Sub(r.since) > 2*tailWindow }

// fillerUse returns the thousandths of a core that a filler uses, or may once
// it is at work.
func (r *run) fillerUse(now time.Time) int64 {
	if r.settled(now) {
		return r.usage
	}
	return max(r.usage, r.task.step.spec.Needs.MilliCPU)
}

// sortedRuns returns the worker's runs in the order of their numbers.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.number != b.number {
			if a.number < b.number {
				return -1
			}
			return 1
		}
		return strings.Compare(a.task.step.job.spec.ID, b.task.step.job.spec.ID)
	})
	return runs
}

// learnTails takes in the tails of a report that differs from the one before.
func (s *State) learnTails(now time.Time, w *worker) {
	figures, serving := int64(0), false
	for _, r := range w.runs {
		figures = figures*31 + r.usage
		if c := r.task.step.class; c != "" && r.phase == running {
			serving = true
			s.targets[c] = float64(r.task.step.spec.TailTarget.Milliseconds())
			r.noteTail(now)
		}
	}
	if !serving || figures == w.figures {
		return
	}
	w.figures = figures
	w.reportedTails = true
	c, _ := w.colocation(now)
	colocate.Learn(s.model, c)
	s.learned = true
}

// noteTail keeps since when a tail has been over its target.
func (r *run) noteTail(now time.Time) {
	tail := time.Duration(r.usage) * time.Millisecond
	switch {
	case r.percent < 100 || tail <= r.task.step.spec.TailTarget:
		r.tailOver = time.Time{}
	case r.tailOver.IsZero():
		r.tailOver = now
	}
}

// pace slows or moves fillers beside serving tasks whose tail is too long.
func (s *State) pace(now time.Time) []PaceOrder {
	var orders []PaceOrder
	for _, w := range s.workers {
		if !w.reportedTails || w.silent || now.Sub(w.guardedAt) < colocate.Patience {
			continue
		}
		w.reportedTails = false
		if serving, fillers := w.serving(); serving == 0 || fillers == 0 {
			continue
		}
		c, fillers := w.colocation(now)
		for i, action := range colocate.Guard(s.model, c, s.cfg.TailBound) {
			r := fillers[i]
			if action == colocate.Leave || r.phase != running {
				continue
			}
			w.guardedAt = now
			if action == colocate.Move {
				s.Stats.FillersMoved++
				s.stop(now, r)
				continue
			}
			r.pace = 100
			if action == colocate.Slow {
				r.pace = colocate.SlowPercent
			}
			orders = append(orders, PaceOrder{Worker: w.info, Pace: runner.Pace{
				Task: r.task.id(), Run: r.number, Percent: r.pace, Token: w.token,
			}})
		}
	}
	return orders
}
