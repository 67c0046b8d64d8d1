package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/task"
)

// replan is how often a plan is made when nothing changed, since time alone
// may call for one.
const replan = 250 * time.Millisecond

// planPause is the least time between two plans.
const planPause = 5 * time.Millisecond

// tick does what the passing of time asks for.
func (s *Shard) tick(now time.Time) {
	s.look = true
	if !s.live() {
		return
	}
	s.watch(now)
	s.retry(now)
	s.sweep(now)
	s.plan(now)
}

// plan carries out the planner's next actions.
func (s *Shard) plan(now time.Time) {
	if now.Before(s.heldUntil) || now.Sub(s.planned) < planPause || (!s.dirty && now.Before(s.nextPlan)) {
		return
	}
	room := min(planLimit, maxStartsInFlight-s.starting)
	if room <= 0 {
		return
	}
	actions := s.planner.Plan(now, room)
	s.dirty = len(actions) >= room
	s.nextPlan = now.Add(replan)
	s.planned = now
	for _, a := range actions {
		s.act(now, a)
	}
}

// act carries out one action of a plan.
func (s *Shard) act(now time.Time, a placement.Action) {
	if _, ok := s.arriving[a.Job]; ok {
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
		s.throttle(j, a.CPULimit)
	case placement.Evict:
		s.evict(j)
	}
}

// start commits the start of a pending job; the order follows once it is
// durable.
func (s *Shard) start(now time.Time, j *job, a placement.Action) {
	host := a.Host
	w := s.workers[host]
	next, t := j.rec.Start(host, a.Resources)
	if w == nil || t != task.Applied || j.committing || !w.health.admit(now, j.rec.Spec.ID) {
		s.giveBack(now, j)
		return
	}
	s.pending--
	s.running++
	s.starting++
	w.jobs[j.rec.Spec.ID] = j
	if w.health.probe == j.rec.Spec.ID {
		event.WorkerProbed.Log(s.log, slog.String("worker", w.name), slog.String("job", j.rec.Spec.ID))
		s.show(now, w)
	}
	if s.faults.sendBeforeDurable {
		j.rec = next
		s.call(w)
	}
	s.advance(j, next, func(time.Time) {
		s.starting--
		s.starts++
		s.call(w)
		s.metrics.starts.Inc()
	}, func(now time.Time) {
		s.starting--
		w.health.ended(j.rec.Spec.ID)
		s.vacate(now, j, host, false)
		s.enqueue(now, j)
	})
}

// giveBack returns a planned start that can't be made.
func (s *Shard) giveBack(now time.Time, j *job) {
	s.planner.Release(now, j.rec.Spec.ID, false)
	if j.rec.State == task.Pending && !j.committing {
		s.planner.Enqueue(now, j.rec.SpecWithFloor())
	}
}

// throttle has the worker told of a new limit.
func (s *Shard) throttle(j *job, percent int) {
	if !j.rec.State.Active() {
		return
	}
	j.percent = percent
	s.hurry(j)
}

// evict has the job's run checkpointed and stopped.
func (s *Shard) evict(j *job) {
	if !j.rec.State.Active() || j.evict {
		return
	}
	j.evict = true
	s.metrics.evictions.Inc()
	s.hurry(j)
}

// hurry asks for an exchange with the job's worker at once.
func (s *Shard) hurry(j *job) {
	if w := s.workers[j.rec.Worker]; w != nil {
		s.call(w)
	}
}

// call asks for an exchange with the worker at once.
func (s *Shard) call(w *worker) {
	w.soon = true
	s.look = true
}
