package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// submitWithStart commits an urgent job together with its first start, which
// saves the time of one commit, and calls reply with the result. It returns
// false, without a commit or a call of reply, if the job can't be placed now.
func (s *Shard) submitWithStart(now time.Time, spec task.Spec, deadline time.Time, reply func(submitReply)) bool {
	placed, ok := s.placeNow(now, spec)
	if !ok {
		return false
	}
	host := placed.Host
	next, _ := task.New(spec).Start(host, s.workers[host].member.Address, placed.Resources)
	s.committingUrgent[spec.ID] = struct{}{}
	s.startsInFlight++
	c := submissionChange(s.name, next)
	c.urgent = true
	c.deadline = deadline
	arrived := now
	c.done = func(now time.Time, r infra.CommitResult) {
		delete(s.committingUrgent, spec.ID)
		s.startsInFlight--
		if r.Status == infra.CommitApplied {
			reply(s.acceptStarted(now, arrived, next, r.Version))
			return
		}
		s.planner.Release(now, spec.ID, false)
		if w := s.workers[host]; w != nil {
			w.health.clearProbe(spec.ID)
		}
		reply(s.handleSubmitResult(now, spec, r))
	}
	s.submitCommit(c)
	return true
}

// placeNow runs the planner and returns the start of the job; false if the job
// can't start now. Other actions of the plan are applied.
func (s *Shard) placeNow(now time.Time, spec task.Spec) (start placement.Action, ok bool) {
	if now.Before(s.commitsPausedUntil) || s.startsInFlight >= maxStartsInFlight {
		return start, false
	}
	s.planner.Enqueue(now, spec)
	for _, a := range s.planner.Plan(now, maxPlanActions) {
		if a.Job != spec.ID || a.Kind != placement.Start {
			s.applyAction(now, a)
			continue
		}
		start = a
	}
	s.planNeeded = true
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

// acceptStarted adds a job that was committed with its first start.
func (s *Shard) acceptStarted(now, arrived time.Time, r task.Record, version uint64) submitReply {
	j := &job{rec: r, version: version, queuedAt: arrived}
	s.jobs[r.Spec.ID] = j
	w := s.worker(now, r.Worker)
	w.jobs[r.Spec.ID] = j
	s.running++
	s.starts++
	s.metrics.starts.Inc()
	s.requestExchange(w)
	return submitReply{Code: submitAccepted, Status: s.status(j), Load: s.pending}
}
