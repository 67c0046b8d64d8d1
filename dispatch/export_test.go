package dispatch

import (
	"fmt"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// PlanCompared places the waiting tasks as Plan does, except for gangs. It
// compares the worker chosen from the shortlist with the choice of a search over
// all workers, and describes the differences.
func (s *State) PlanCompared(now time.Time) (starts []StartOrder, differences []string) {
	c := newCycle(s, now)
	waiting := s.waitingSteps(now)
	c.computeCapacity(waiting)
	for _, wt := range waiting {
		list := c.shortlist(wt.step)
		for i := range wt.step.tasks {
			t := &wt.step.tasks[i]
			if t.done || len(t.runs) > 0 || !c.headroomAllows(t) {
				continue
			}
			fromSearch, fromShortlist := c.choose(t, nil), list.best()
			if fromSearch != fromShortlist {
				differences = append(differences, fmt.Sprintf("%v: %s by full search, %s from the shortlist", t.id(), workerID(fromSearch), workerID(fromShortlist)))
			}
			if fromShortlist == nil {
				break
			}
			s.nextRun++
			c.start(t, fromShortlist, s.nextRun)
			list.updateBest()
		}
	}
	return c.starts, differences
}

func workerID(w *worker) string {
	if w == nil {
		return "none"
	}
	return w.info.ID
}

// MayHoldRun reports whether a run may be alive on a worker as far as the State knows.
func (s *State) MayHoldRun(worker string, id workload.TaskID, number uint64) bool {
	if s.awaitingReport[worker] != nil {
		return true // an earlier owner may have started it
	}
	w := s.workers[worker]
	return w != nil && w.runs[id] != nil && w.runs[id].number == number
}

// HeldWorkers returns the workers of the starts that wait for the store.
func (s *State) HeldWorkers() []string {
	var ids []string
	for _, h := range s.heldStarts {
		ids = append(ids, h.run.worker.info.ID)
	}
	return ids
}

// StartedTasks counts the tasks of a job that count as started.
func (s *State) StartedTasks(id string) int {
	n := 0
	s.jobs[id].eachTask(func(t *task) {
		if t.started {
			n++
		}
	})
	return n
}

// AwaitedReports counts the workers of earlier owners that may still have runs of them.
func (s *State) AwaitedReports() int { return len(s.awaitingReport) }
