package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// report takes in a worker's word on one run.
func (s *Shard) report(now time.Time, w *worker, r infra.RunReport) {
	j := s.jobs[r.Run.Job]
	if j == nil || r.Run.Epoch != j.rec.Epoch || j.rec.Worker != w.name || !j.rec.State.Active() {
		s.stray(w, r)
		return
	}
	j.doneMS = max(j.doneMS, r.DoneMS)
	if r.State == infra.RunRunning {
		s.confirm(now, j)
		return
	}
	if j.committing {
		j.late = &r
		return
	}
	s.over(now, w, j, r)
}

// confirm notes that the worker runs the job's epoch. It is not written: after
// a replay the worker's list says so again.
func (s *Shard) confirm(now time.Time, j *job) {
	next, t := j.rec.Confirmed(j.rec.Epoch)
	if t != task.Applied {
		return
	}
	j.rec = next
	s.metrics.started(now.Sub(j.queued), j.rec.Spec.Urgent)
}

// over commits the end of a run.
func (s *Shard) over(now time.Time, w *worker, j *job, r infra.RunReport) {
	next, t := s.ending(j, r, now.UnixMilli())
	if t != task.Applied {
		event.TransitionRejected.Log(s.log, slog.String("job", r.Run.Job), slog.String("state", j.rec.State.String()))
		return
	}
	s.advance(j, next, func(now time.Time) {
		s.ended(now, w, j, r)
		w.extra[r.Run] = infra.OrderForget
	}, func(time.Time) { j.late = &r })
}

// ending returns the record after the run's end.
func (s *Shard) ending(j *job, r infra.RunReport, nowMS int64) (task.Record, task.Transition) {
	epoch := r.Run.Epoch
	switch r.State {
	case infra.RunDone:
		return j.rec.Finished(epoch, r.DoneMS, nowMS)
	case infra.RunFailed:
		return j.rec.Failed(epoch, r.Reason, r.DoneMS, s.limits.MaxFailures, nowMS)
	case infra.RunKilled:
		return j.rec.Killed(epoch, r.Reason, r.DoneMS, maxKills, nowMS)
	case infra.RunStopped:
		return j.rec.Stopped(epoch, r.Checkpoint, r.DoneMS, nowMS)
	case infra.RunRefused:
		return j.rec.Refused(epoch, r.Reason, nowMS)
	default:
		return j.rec.LeaseExpired(epoch, max(r.DoneMS, j.doneMS), nowMS)
	}
}

// ended carries out what follows from the durable end of a run.
func (s *Shard) ended(now time.Time, w *worker, j *job, r infra.RunReport) {
	id := j.rec.Spec.ID
	if r.State == infra.RunKilled {
		s.planner.RecordOOMKill(id)
	}
	s.vacate(now, j, w.name, r.State == infra.RunDone)
	s.judge(now, w, id, r.State)
	s.metrics.ended(r.State)
	if r.State == infra.RunFailed || r.State == infra.RunRefused {
		s.planner.Avoid(id, w.name)
	}
	switch j.rec.State {
	case task.Pending:
		s.again(now, j, r.State)
	case task.Parked:
		event.JobParked.Log(s.log, slog.String("job", id), slog.String("reason", j.rec.Reason))
	}
	if j.rec.State == task.Cancelled {
		s.answerCancels(j, cancelReply{Code: cancelDone})
	}
	if j.rec.State == task.Done {
		s.answerCancels(j, cancelReply{Code: cancelFinished})
	}
}

// again queues a job whose run has ended, or parks it if it grew too large for
// every host.
func (s *Shard) again(now time.Time, j *job, state infra.RunState) {
	reason, never := s.planner.NeverFits(j.rec.SpecWithFloor())
	if state != infra.RunKilled || !never {
		s.enqueue(now, j)
		return
	}
	next, _ := j.rec.ParkedWith(reason, now.UnixMilli())
	s.advance(j, next, func(time.Time) {
		event.JobParked.Log(s.log, slog.String("job", next.Spec.ID), slog.String("reason", reason))
	}, func(now time.Time) { s.enqueue(now, j) })
}

// judge keeps the worker's health.
func (s *Shard) judge(now time.Time, w *worker, id string, state infra.RunState) {
	switch state {
	case infra.RunFailed:
		if w.health.failure(now, id, s.limits.QuarantineAfter, s.limits.QuarantineFor.D()) {
			event.WorkerQuarantined.Log(s.log, slog.String("worker", w.name))
		}
	case infra.RunDone:
		if w.health.success() {
			event.WorkerCleared.Log(s.log, slog.String("worker", w.name))
		}
	default:
		w.health.ended(id)
	}
	s.show(now, w)
}

// stray deals with a run that no record stands for: it is stopped, or dropped
// from the worker's list if it is over.
func (s *Shard) stray(w *worker, r infra.RunReport) {
	if r.State != infra.RunRunning {
		w.extra[r.Run] = infra.OrderForget
		return
	}
	if w.extra[r.Run] != infra.OrderStop {
		event.RunStray.Log(s.log, slog.String("worker", w.name), slog.String("job", r.Run.Job), slog.Uint64("epoch", r.Run.Epoch))
	}
	w.extra[r.Run] = infra.OrderStop
	s.call(w)
}

// lapse ends a run that is surely over without a report.
func (s *Shard) lapse(now time.Time, w *worker, j *job) {
	r := infra.RunReport{Run: j.rec.RunID(), State: infra.RunExpired, DoneMS: j.doneMS}
	if j.committing {
		j.late = &r
		return
	}
	s.over(now, w, j, r)
}
