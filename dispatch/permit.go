package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// permitWorkers is how many workers are asked about at once, and
	// permitMost for a step with many tasks: the policy service takes its time
	// for each, and no more than a hundred.
	permitWorkers = 30
	permitMost    = 100
	// permitMargin is kept of a permit's validity for the start's way.
	permitMargin = 300 * time.Millisecond
	// permitRetry is the wait after a question that wasn't answered.
	permitRetry = 200 * time.Millisecond
)

// permits is what the policy service has said of a step.
type permits struct {
	// tickets holds valid permits by worker, until when they hold; denied the
	// workers that may not run it, which doesn't change.
	tickets map[string]ticket
	denied  map[string]bool
	// nextAsk is when it may be asked about again.
	nextAsk time.Time
}

// ticket is one permit.
type ticket struct {
	text  string
	until time.Time
}

// PermitRequest asks the policy service about a step.
type PermitRequest struct {
	Step    workload.StepID
	Workers []string
}

// id returns the step's name.
func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job.spec.ID, Occurrence: s.occurrence.index, Step: s.index}
}

// ticketFor returns the ticket that a start on the worker must carry, and
// whether the step may start there.
func (s *step) ticketFor(now time.Time, w *worker) (string, bool) {
	if !s.job.queue.NeedsPermit {
		return "", true
	}
	t, ok := s.permits.tickets[w.info.ID]
	return t.text, ok && now.Add(permitMargin).Before(t.until)
}

// NextPermitRequest returns the next question for the policy service: for the first
// step in the queue that has too few permits, then for one whose turn comes
// next, so that its permits are there when it does. One question should be
// under way at a time.
func (s *State) NextPermitRequest(now time.Time) (PermitRequest, bool) {
	c := newCycle(s, now)
	for _, w := range s.waiting(now) {
		if q, ok := c.question(w.step); ok {
			return q, true
		}
	}
	for _, j := range s.open {
		if !j.rowStored || !j.queue.NeedsPermit {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.blockedBy == 0 || st.undone == 0 || !o.nextAfter(st) {
					continue
				}
				if q, ok := c.question(st); ok {
					return q, true
				}
			}
		}
	}
	return PermitRequest{}, false
}

// nextAfter reports whether all tasks of the steps before are at work.
func (o *occurrence) nextAfter(st *step) bool {
	for _, before := range st.spec.After {
		if b := o.steps[before]; b.blockedBy > 0 || b.idle > 0 {
			return false
		}
	}
	return true
}

// question returns what to ask about a step, false if nothing is needed.
func (c *cycle) question(st *step) (PermitRequest, bool) {
	if !st.job.queue.NeedsPermit || c.now.Before(st.permits.nextAsk) {
		return PermitRequest{}, false
	}
	var ask []*worker
	for _, w := range c.workers {
		if !c.allowed(st, w) || st.permits.denied[w.info.ID] {
			continue
		}
		if _, ok := st.ticketFor(c.now, w); ok {
			if st.spec.Reserved().Fits(w.free) {
				return PermitRequest{}, false // a start is possible as it is
			}
			continue
		}
		ask = append(ask, w)
	}
	if len(ask) == 0 {
		return PermitRequest{}, false
	}
	slices.SortStableFunc(ask, func(a, b *worker) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	q := PermitRequest{Step: st.id()}
	for _, w := range ask[:min(len(ask), max(permitWorkers, min(2*st.idle, permitMost)))] {
		q.Workers = append(q.Workers, w.info.ID)
	}
	return q, true
}

// HandlePermits takes in the answer to a question; err is set if there was none.
func (s *State) HandlePermits(now time.Time, q PermitRequest, p runner.Permits, err error) {
	j := s.jobs[q.Step.Job]
	if j == nil {
		return
	}
	t := j.task(workload.TaskID{Job: q.Step.Job, Occurrence: q.Step.Occurrence, Step: q.Step.Step})
	if t == nil {
		return
	}
	st := t.step
	if err != nil {
		st.permits.nextAsk = now.Add(permitRetry)
		return
	}
	if st.permits.tickets == nil {
		st.permits.tickets, st.permits.denied = map[string]ticket{}, map[string]bool{}
	}
	st.allTriedAt = time.Time{} // it may fit where it didn't for want of one
	for _, id := range q.Workers {
		if text, ok := p.Tickets[id]; ok {
			st.permits.tickets[id] = ticket{text: text, until: now.Add(p.Valid)}
		} else {
			st.permits.denied[id] = true
		}
	}
}

// dropTicket forgets a permit that a worker no longer takes.
func (s *step) dropTicket(w *worker) { delete(s.permits.tickets, w.info.ID) }
