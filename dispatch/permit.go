package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// permitBatch is how many workers a permit request names, and
	// maxPermitBatch how many for a step with many tasks; the policy service
	// accepts no more than 100.
	permitBatch    = 30
	maxPermitBatch = 100
	// permitMargin is the remaining validity that a permit needs to reach the
	// worker.
	permitMargin = 300 * time.Millisecond
	// permitRetry is the wait after a permit request that failed.
	permitRetry = 200 * time.Millisecond
)

// permits holds the policy service's decisions on a step.
type permits struct {
	// granted holds permits by worker. denied holds, by worker, the number of the life
	// that may not run the step, which is final for that life.
	granted map[string]permit
	denied  map[string]uint64
	// nextRequest is when the next request may be made.
	nextRequest time.Time
}

// permit is the text of a permit, the worker's life that it is valid for, and the end of
// its validity.
type permit struct {
	text  string
	life  uint64
	until time.Time
}

// PermitRequest asks the policy service which workers may run a step.
type PermitRequest struct {
	Step    workload.StepID
	Workers []string
	// lives holds the numbers of the workers' lives.
	lives []uint64
}

func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job.spec.ID, Occurrence: s.occurrence.index, Step: s.index}
}

// permitFor returns the text of the permit that a start on the worker must
// include, and whether the step may start there. The text is empty if the queue
// needs no permits.
func (s *step) permitFor(now time.Time, w *worker) (string, bool) {
	if !s.job.queue.NeedsPermit {
		return "", true
	}
	t, ok := s.permits.granted[w.info.ID]
	return t.text, ok && t.life == w.number && now.Add(permitMargin).Before(t.until)
}

// NextPermitRequest returns the next request for the policy service: for the
// first step in the queue that lacks permits, then for one that becomes ready
// next, so that its permits arrive in time. Only one request should be in
// flight.
func (s *State) NextPermitRequest(now time.Time) (PermitRequest, bool) {
	if !slices.ContainsFunc(s.open, func(j *job) bool { return j.queue.NeedsPermit }) {
		return PermitRequest{}, false
	}
	c := newCycle(s, now)
	for _, w := range s.waitingSteps(now) {
		if q, ok := c.permitRequest(w.step); ok {
			return q, true
		}
	}
	for _, j := range s.open {
		if !j.rowStored || !j.queue.NeedsPermit {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.blockedBy == 0 || st.unfinishedTasks == 0 || !o.predecessorsStarted(st) {
					continue
				}
				if q, ok := c.permitRequest(st); ok {
					return q, true
				}
			}
		}
	}
	return PermitRequest{}, false
}

// predecessorsStarted reports whether all tasks of the steps that st depends on
// have started.
func (o *occurrence) predecessorsStarted(st *step) bool {
	for _, before := range st.spec.After {
		if b := o.steps[before]; b.blockedBy > 0 || b.idle > 0 {
			return false
		}
	}
	return true
}

// permitRequest returns the request for a step, false if none is needed.
func (c *cycle) permitRequest(st *step) (PermitRequest, bool) {
	if !st.job.queue.NeedsPermit || c.now.Before(st.permits.nextRequest) {
		return PermitRequest{}, false
	}
	var candidates []*worker
	for _, w := range c.workers {
		if !c.allowed(st, w) || st.permits.denied[w.info.ID] == w.number {
			continue
		}
		if _, ok := st.permitFor(c.now, w); ok {
			if st.spec.Reserved().Fits(w.free) {
				return PermitRequest{}, false // a start is possible already
			}
			continue
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		return PermitRequest{}, false
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU) })
	q := PermitRequest{Step: st.id()}
	for _, w := range candidates[:min(len(candidates), max(permitBatch, min(2*st.idle, maxPermitBatch)))] {
		q.Workers, q.lives = append(q.Workers, w.info.ID), append(q.lives, w.number)
	}
	return q, true
}

// HandlePermits applies the answer to a permit request; err is set if the
// request failed.
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
		st.permits.nextRequest = now.Add(permitRetry)
		return
	}
	if st.permits.granted == nil {
		st.permits.granted, st.permits.denied = map[string]permit{}, map[string]uint64{}
	}
	st.allTriedAt = time.Time{} // it may fit where only a permit was missing
	for i, id := range q.Workers {
		if text, ok := p.Tickets[id]; ok {
			st.permits.granted[id] = permit{text: text, life: q.lives[i], until: now.Add(p.Valid)}
		} else {
			st.permits.denied[id] = q.lives[i]
		}
	}
}

// dropPermit removes a permit that the worker refused.
func (s *step) dropPermit(w *worker) { delete(s.permits.granted, w.info.ID) }
