package dispatch

import (
	"fmt"
	"time"
)

// PlanCompared places the waiting tasks as Plan does, and compares each choice
// with that of a look at all workers for this task alone.
func (s *State) PlanCompared(now time.Time) (starts []StartOrder, differences []string) {
	c := newCycle(s, now)
	waiting := s.waiting(now)
	c.rooms(waiting)
	for _, wt := range waiting {
		list := c.shortlist(wt.step)
		for i := range wt.step.tasks {
			t := &wt.step.tasks[i]
			if t.done || len(t.runs) > 0 || !c.mayBegin(t) {
				continue
			}
			alone, listed := c.choose(t, nil), list.best()
			if alone != listed {
				differences = append(differences, fmt.Sprintf("%v: %s by itself, %s from the list", t.id(), nameOf(alone), nameOf(listed)))
			}
			if listed == nil {
				break
			}
			s.nextRun++
			c.start(t, listed, s.nextRun)
			list.placed()
		}
	}
	return c.starts, differences
}

// nameOf returns a worker's ID.
func nameOf(w *worker) string {
	if w == nil {
		return "none"
	}
	return w.info.ID
}
