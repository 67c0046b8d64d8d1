package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/pace"
)

// maxSuspectReports is the number of reports in a row with long tails after which the
// tails count as the load of the worker's steps, unless the worker is found slow before.
const maxSuspectReports = 6

// learnTails learns from the tails of a report. The tails of a worker that is or seems slow
// don't show the load of its steps. If they were learned as load, the tails of other slow
// workers would seem to be explained by it.
func (s *State) learnTails(now time.Time, w *worker, c *colocate.Worker) {
	if s.pace == nil {
		s.model.Learn(now, c)
		return
	}
	slowdown := s.model.Slowdown(now, c)
	if slowdown.Ratio >= pace.SlowFactor && !w.tailsLongerThanPeers() {
		slowdown.Ratio = 0 // explained by the load of its steps
	}
	if slowdown.Ratio > 0 {
		w.pace.AddTail(now, slowdown.Ratio, slowdown.Unexplained)
	}
	if slowdown.Ratio > 0 && slowdown.Ratio < pace.SlowFactor {
		w.suspectReports = 0
	}
	switch {
	case w.pace.Slow():
	case slowdown.Ratio >= pace.SlowFactor && w.suspectReports < maxSuspectReports:
		w.suspectReports++
		s.model.LearnEffects(now, c)
	default:
		s.model.Learn(now, c)
	}
}

// tailsLongerThanPeers reports whether the worker's tails are longer, by the factor that
// counts as slow, than those of the same steps on other workers. Steps with few tasks
// elsewhere say nothing.
func (w *worker) tailsLongerThanPeers() bool {
	longer := false
	for _, r := range w.runsByNumber {
		if !r.serves() {
			continue
		}
		peers := w.peerTail(r.task.step)
		if peers == 0 {
			continue
		}
		if float64(r.usage) < pace.SlowFactor*float64(peers) {
			return false
		}
		longer = true
	}
	return longer
}

// minPeerTails is the least number of tails elsewhere of which a median is taken, and
// maxPeerTails the largest that is used.
const minPeerTails, maxPeerTails = 2, 32

// peerTail returns the median tail, in milliseconds, of the step's tasks on other workers,
// 0 if there are too few.
func (w *worker) peerTail(st *step) int64 {
	var all [maxPeerTails]int64
	n := 0
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			if r.worker != w && r.serves() && r.usage > 0 && n < maxPeerTails {
				all[n] = r.usage
				n++
			}
		}
	}
	if n < minPeerTails {
		return 0
	}
	slices.Sort(all[:n])
	return all[n/2]
}

// serves reports whether it is a run of a serving task that has started to serve.
func (r *run) serves() bool {
	return r.task.step.class != "" && r.phase == running && r.percent >= 100
}
