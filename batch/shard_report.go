package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// handleReport handles a worker's report on one run.
func (s *Shard) handleReport(now time.Time, w *worker, r infra.RunReport) {
	j := s.jobs[r.Run.Job]
	if j == nil || r.Run.Epoch != j.rec.Epoch || j.rec.Worker != w.name || !j.rec.State.Active() {
		s.handleStray(w, r)
		return
	}
	j.doneMS = max(j.doneMS, r.DoneMS)
	if r.State == infra.RunRunning {
		s.confirmRun(now, j)
		return
	}
	if j.committing {
		j.deferredReport = &r
		return
	}
	s.commitEnd(now, w, j, r)
}

// confirmRun records that the worker runs the job's epoch. This is not stored,
// because workers report their runs again after a replay.
func (s *Shard) confirmRun(now time.Time, j *job) {
	next, t := j.rec.Confirmed(j.rec.Epoch)
	if t != task.Applied {
		return
	}
	j.rec = next
	s.metrics.observeStart(now.Sub(j.queuedAt), j.rec.Spec.Urgent)
}

// commitEnd commits the end of a run.
func (s *Shard) commitEnd(now time.Time, w *worker, j *job, r infra.RunReport) {
	next, t := s.recordAfterEnd(j, r, now.UnixMilli())
	if t != task.Applied {
		event.TransitionRejected.Log(s.log, slog.String("job", r.Run.Job), slog.String("state", j.rec.State.String()))
		return
	}
	if r.State == infra.RunFailed && !w.hasElsewhere(j) {
		// Counted before it is durable, or the worker would get more jobs meanwhile.
		s.updateHealth(now, w, r.Run.Job, r.State)
	}
	s.commitRecord(j, next, func(now time.Time) {
		s.handleEnd(now, w, j, r)
		w.extraOrders[r.Run] = infra.OrderForget
	}, func(time.Time) { j.deferredReport = &r })
}

// recordAfterEnd returns the record after the reported end of its run.
func (s *Shard) recordAfterEnd(j *job, r infra.RunReport, nowMS int64) (task.Record, task.Transition) {
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

// handleEnd updates the shard after the durable end of a run.
func (s *Shard) handleEnd(now time.Time, w *worker, j *job, r infra.RunReport) {
	id := j.rec.Spec.ID
	if r.State == infra.RunKilled {
		s.planner.RecordOOMKill(id)
	}
	s.freeRun(now, j, w.name, r.State == infra.RunDone)
	if r.State != infra.RunFailed {
		s.updateHealth(now, w, id, r.State)
	}
	s.metrics.countEnd(r.State)
	if r.State == infra.RunFailed || r.State == infra.RunRefused {
		s.planner.Avoid(id, w.name)
	}
	switch j.rec.State {
	case task.Pending:
		s.requeue(now, j, r.State)
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

// requeue queues a job whose run has ended, or parks it if the run was killed
// and the increased size fits no host.
func (s *Shard) requeue(now time.Time, j *job, state infra.RunState) {
	reason, never := s.planner.NeverFits(j.rec.SpecWithFloor())
	if state != infra.RunKilled || !never {
		s.enqueue(now, j)
		return
	}
	next, _ := j.rec.ParkedWith(reason, now.UnixMilli())
	s.commitRecord(j, next, func(time.Time) {
		event.JobParked.Log(s.log, slog.String("job", next.Spec.ID), slog.String("reason", reason))
	}, func(now time.Time) { s.enqueue(now, j) })
}

// updateHealth updates the worker's health after the end of a run.
func (s *Shard) updateHealth(now time.Time, w *worker, id string, state infra.RunState) {
	switch state {
	case infra.RunFailed:
		if w.health.recordFailure(now, id, s.limits.QuarantineAfter, s.limits.QuarantineFor.D()) {
			event.WorkerQuarantined.Log(s.log, slog.String("worker", w.name))
		}
	case infra.RunDone:
		if w.health.recordSuccess() {
			event.QuarantineEnded.Log(s.log, slog.String("worker", w.name))
		}
	default:
		w.health.clearProbe(id)
	}
	s.updatePlannerHost(now, w)
}

// handleStray orders the worker to stop a run that matches no record, or to
// forget it if it has ended.
func (s *Shard) handleStray(w *worker, r infra.RunReport) {
	if r.State != infra.RunRunning {
		w.extraOrders[r.Run] = infra.OrderForget
		return
	}
	if w.extraOrders[r.Run] != infra.OrderStop {
		event.UnknownRun.Log(s.log, slog.String("worker", w.name), slog.String("job", r.Run.Job), slog.Uint64("epoch", r.Run.Epoch))
	}
	w.extraOrders[r.Run] = infra.OrderStop
	s.requestExchange(w)
}

// expireRun commits the end of a run that must have ended although the worker
// has not reported it.
func (s *Shard) expireRun(now time.Time, w *worker, j *job) {
	r := infra.RunReport{Run: j.rec.RunID(), State: infra.RunExpired, DoneMS: j.doneMS}
	if j.committing {
		j.deferredReport = &r
		return
	}
	s.commitEnd(now, w, j, r)
}
