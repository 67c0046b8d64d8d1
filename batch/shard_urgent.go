package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// submitStarted makes an urgent job durable together with its first start, if
// it can be placed now; this saves one commit's time. It reports whether it
// did.
func (s *Shard) submitStarted(now time.Time, spec task.Spec, deadline time.Time, reply func(submitReply)) bool {
	placed, ok := s.placeNow(now, spec)
	if !ok {
		return false
	}
	host := placed.Host
	next, _ := task.New(spec).Start(host, placed.Resources)
	s.arriving[spec.ID] = struct{}{}
	s.starting++
	c := submission(s.name, next)
	c.urgent = true
	c.deadline = deadline
	arrived := now
	c.done = func(now time.Time, r infra.CommitResult) {
		delete(s.arriving, spec.ID)
		s.starting--
		if r.Status == infra.CommitApplied {
			reply(s.acceptStarted(now, arrived, next, r.Version))
			return
		}
		s.planner.Release(now, spec.ID, false)
		if w := s.workers[host]; w != nil {
			w.health.ended(spec.ID)
		}
		reply(s.submitted(now, spec, r))
	}
	s.put(c)
	return true
}

// placeNow asks for a plan and returns its start of the job; false if it has
// to wait.
func (s *Shard) placeNow(now time.Time, spec task.Spec) (start placement.Action, ok bool) {
	if now.Before(s.heldUntil) || s.starting >= maxStartsInFlight {
		return start, false
	}
	s.planner.Enqueue(now, spec)
	for _, a := range s.planner.Plan(now, planLimit) {
		if a.Job != spec.ID || a.Kind != placement.Start {
			s.act(now, a)
			continue
		}
		start = a
	}
	s.dirty = true
	if start.Host == "" {
		s.planner.Withdraw(spec.ID)
		return start, false
	}
	if w := s.workers[start.Host]; w == nil || !w.health.admit(now, spec.ID) {
		s.planner.Release(now, spec.ID, false)
		return start, false
	}
	return start, true
}

// acceptStarted adds a job whose first start is durable.
func (s *Shard) acceptStarted(now, arrived time.Time, r task.Record, version uint64) submitReply {
	j := &job{rec: r, version: version, queued: arrived}
	s.jobs[r.Spec.ID] = j
	w := s.worker(now, r.Worker)
	w.jobs[r.Spec.ID] = j
	s.running++
	s.starts++
	s.metrics.starts.Inc()
	s.call(w)
	return submitReply{Code: submitAccepted, Status: s.status(j), Load: s.pending}
}
