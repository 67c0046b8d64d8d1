package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/runner"
)

const (
	// tailWindow is what a worker's figures cover.
	tailWindow = 500 * time.Millisecond
	// quietEffect is what a filler of all processors may take from the slack
	// of any class and still count as quiet. Pairs that disturb take 6 to 13,
	// others less than 1.5, by regression over 60,000 readings of tails.
	quietEffect = 3.0
	// effectShows is how long a filler's start, end or change of pace takes to
	// show wholly in the tails: by 600 recorded starts of fillers that disturb,
	// nothing shows for 0.2 s and all of it from 0.5 s on. Taken as 1 s, most
	// readings beside short fillers taught little.
	effectShows = tailWindow
	// paceRetry is the time between two orders of a pace that got no answer:
	// about what an order takes at most.
	paceRetry = 300 * time.Millisecond
)

// colocation describes the worker to package colocate, with the runs behind
// the fillers in the same order.
func (w *worker) colocation(now time.Time) (*colocate.Worker, []*run) {
	c := &colocate.Worker{}
	var fillers []*run
	for _, r := range w.inOrder {
		st := r.task.step
		switch {
		case st.class != "" && r.phase == running:
			s := colocate.Serving{Class: st.class, Step: st.id(), Target: st.spec.TailTarget}
			if r.percent >= 100 {
				s.Tail = time.Duration(r.usage) * time.Millisecond
			}
			if !r.tailOver.IsZero() {
				s.OverTargetFor = now.Sub(r.tailOver)
			}
			c.Serving = append(c.Serving, s)
		case st.spec.BestEffort && r.phase != stopping:
			c.BestEffort = append(c.BestEffort, r.filler(now))
			fillers = append(fillers, r)
		}
	}
	for i := range w.leaving {
		if l := &w.leaving[i]; now.Sub(l.at) < effectShows {
			c.RecentlyEnded = append(c.RecentlyEnded, l.filler)
		}
	}
	return c, fillers
}

// leaver is a filler that has ended, and when.
type leaver struct {
	filler colocate.BestEffortTask
	at     time.Time
}

// noteLeaving keeps a filler that has ended until the tails no longer show it.
func (w *worker) noteLeaving(now time.Time, r *run) {
	w.leaving = slices.DeleteFunc(w.leaving, func(l leaver) bool { return now.Sub(l.at) >= effectShows })
	w.leaving = append(w.leaving, leaver{filler: r.filler(now), at: now})
}

// filler describes a filling run.
func (r *run) filler(now time.Time) colocate.BestEffortTask {
	spec := r.task.step.spec
	pace := r.pace
	if r.paceOpen {
		pace = fullPace // it may not have slowed
	}
	allowed := max(spec.Needs.MilliCPU*int64(pace)/100, 1)
	return colocate.BestEffortTask{
		Image: spec.Image, CPUShare: float64(spec.Needs.MilliCPU) / float64(max(r.worker.info.Capacity.MilliCPU, 1)),
		Utilization: float64(r.usage) / float64(allowed), CPULimit: pace, Resumable: spec.Checkpointing, ProgressPercent: r.percent, Settled: r.settled(now),
	}
}

// fullPace is the pace of a run that nothing slows.
const fullPace = 100

// settled reports whether the last figures cover a whole window of the run.
func (r *run) settled(now time.Time) bool {
	return (r.usage > 0 || r.pace == 0) && now.Sub(r.since) > effectShows && now.Sub(r.pacedAt) > effectShows
}

// fillerUse returns the thousandths of a core that a filler uses, or may once
// it is at work.
func (r *run) fillerUse(now time.Time) int64 {
	if r.settled(now) {
		return r.usage
	}
	return max(r.usage, r.task.step.spec.Needs.MilliCPU)
}

// learnTails takes in the tails of a report. One that doesn't differ from the
// one before is of the same half second and teaches nothing.
func (s *State) learnTails(now time.Time, w *worker) {
	figures, serving := int64(0), false
	for _, r := range w.inOrder {
		figures += int64(r.number|1) * (r.usage + 1) // the same in any order
		if c := r.task.step.class; c != "" && r.phase == running {
			serving = true
			r.noteTail(now)
		}
	}
	if !serving {
		return
	}
	w.reportedTails = true
	if figures == w.figures {
		return
	}
	w.figures = figures
	c, _ := w.colocation(now)
	s.model.Learn(now, c)
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
func (s *State) pace(now time.Time) []CPULimitOrder {
	var orders []CPULimitOrder
	for _, w := range s.workers {
		if w.silent || w.tally.fillers == 0 {
			continue
		}
		orders = w.paceAgain(now, orders)
		if now.Sub(w.guardedAt) < colocate.ActionCooldown || !w.guardable() {
			continue
		}
		w.reportedTails = false
		c, runs := w.colocation(now)
		for i, action := range s.model.Actions(now, c, s.cfg.TailBound) {
			r := runs[i]
			if action.Kind == colocate.NoAction || r.phase != running {
				continue
			}
			w.guardedAt = now
			if action.Kind == colocate.Migrate {
				s.Stats.BestEffortMoved++
				s.stop(now, r, TailTooLong)
				continue
			}
			r.setPace(action.CPULimit)
			s.changed(w)
			orders = append(orders, r.paceOrder(now))
		}
	}
	return orders
}

// guardable reports whether there is anything new to decide about the fillers:
// a report of the tails beside them, or one that is slowed for nobody.
func (w *worker) guardable() bool {
	if w.tally.serving > 0 {
		return w.reportedTails
	}
	return w.tally.slowed > 0
}

// setPace changes the pace of a filler.
func (r *run) setPace(percent int) {
	r.worker.tally.drop(r)
	r.pace = percent
	r.worker.tally.add(r)
}

// paceAgain orders once more the paces that got no answer.
func (w *worker) paceAgain(now time.Time, orders []CPULimitOrder) []CPULimitOrder {
	for _, r := range w.inOrder {
		if r.paceOpen && r.phase == running && now.Sub(r.pacedAt) >= paceRetry {
			orders = append(orders, r.paceOrder(now))
		}
	}
	return orders
}

// paceOrder orders the run's pace.
func (r *run) paceOrder(now time.Time) CPULimitOrder {
	r.pacedAt, r.paceOpen = now, false
	return CPULimitOrder{
		Worker: r.worker.info, Snapshot: r.worker.evidence(now),
		CPULimit: runner.CPULimit{Task: r.task.id(), Run: r.number, Percent: r.pace, Token: r.worker.token},
	}
}
