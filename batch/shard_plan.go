package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// replanInterval is the interval between plans if nothing changed; a planner's
// decisions may depend on time alone.
const replanInterval = 250 * time.Millisecond

// minPlanInterval is the minimum time between two plans.
const minPlanInterval = 5 * time.Millisecond

// tick runs the shard's periodic work.
func (s *Shard) tick(now time.Time) {
	s.exchangesNeeded = true
	if !s.acceptsWork() {
		return
	}
	s.checkWorkers(now)
	s.retryDeferred(now)
	s.sweep(now)
	s.plan(now)
}

// plan applies the planner's next actions, if a plan is due.
func (s *Shard) plan(now time.Time) {
	if now.Before(s.commitsPausedUntil) || now.Sub(s.lastPlan) < minPlanInterval || (!s.planNeeded && now.Before(s.nextPlan)) {
		return
	}
	limit := min(maxPlanActions, maxStartsInFlight-s.startsInFlight)
	if limit <= 0 {
		return
	}
	actions := s.planner.Plan(now, limit)
	s.planNeeded = len(actions) >= limit
	s.nextPlan = now.Add(replanInterval)
	s.lastPlan = now
	for _, a := range actions {
		s.applyAction(now, a)
	}
}

// applyAction applies one action of a plan.
func (s *Shard) applyAction(now time.Time, a placement.Action) {
	if _, ok := s.committingUrgent[a.Job]; ok {
		return
	}
	j := s.jobs[a.Job]
	if j == nil {
		s.planner.Release(now, a.Job, false)
		return
	}
	switch a.Kind {
	case placement.Start:
		s.start(now, j, a)
	case placement.Throttle:
		s.setCPULimit(j, a.CPULimit)
	case placement.Evict:
		s.evict(j)
	}
}

// start commits the start of a pending job. The order is sent once the commit is
// durable.
func (s *Shard) start(now time.Time, j *job, a placement.Action) {
	host := a.Host
	w := s.workers[host]
	if w == nil {
		s.undoPlannedStart(now, j)
		return
	}
	next, t := j.rec.Start(host, w.member.Address, a.Resources)
	if t != task.Applied || j.committing || !w.health.admit(now, j.rec.Spec.ID) {
		s.undoPlannedStart(now, j)
		return
	}
	s.pending--
	s.running++
	s.startsInFlight++
	w.jobs[j.rec.Spec.ID] = j
	if w.health.probe == j.rec.Spec.ID {
		event.WorkerProbed.Log(s.log, slog.String("worker", w.name), slog.String("job", j.rec.Spec.ID))
		s.updatePlannerHost(now, w)
	}
	if s.faults.sendBeforeDurable {
		j.rec = next
		s.requestExchange(w)
	}
	s.commitRecord(j, next, func(time.Time) {
		s.startsInFlight--
		s.starts++
		s.requestExchange(w)
		s.metrics.starts.Inc()
	}, func(now time.Time) {
		s.startsInFlight--
		w.health.clearProbe(j.rec.Spec.ID)
		s.freeRun(now, j, host, false)
		s.enqueue(now, j)
	})
}

// undoPlannedStart returns the job of a start that can't be made to the
// planner's queue.
func (s *Shard) undoPlannedStart(now time.Time, j *job) {
	s.planner.Release(now, j.rec.Spec.ID, false)
	if j.rec.State == task.Pending && !j.committing {
		s.planner.Enqueue(now, j.rec.SpecWithFloor())
	}
}

// setCPULimit sets the CPU limit of the job's run, in percent, and requests an
// exchange that sends it.
func (s *Shard) setCPULimit(j *job, cpuLimit int) {
	if !j.rec.State.Active() {
		return
	}
	j.cpuLimit = cpuLimit
	s.requestExchangeFor(j)
}

// evict requests that the job's run is checkpointed and stopped.
func (s *Shard) evict(j *job) {
	if !j.rec.State.Active() || j.evict {
		return
	}
	j.evict = true
	s.metrics.evictions.Inc()
	s.requestExchangeFor(j)
}

// requestExchangeFor requests an immediate exchange with the job's worker.
func (s *Shard) requestExchangeFor(j *job) {
	if w := s.workers[j.rec.Worker]; w != nil {
		s.requestExchange(w)
	}
}

// requestExchange requests an immediate exchange with the worker.
func (s *Shard) requestExchange(w *worker) {
	w.exchangeNow = true
	s.exchangesNeeded = true
}
