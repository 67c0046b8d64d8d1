package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// submitCommit queues a commit that is conditional on the shard's row.
func (s *Shard) submitCommit(c change) {
	if !s.faults.noFence {
		c.conditions = append(c.conditions, s.fence)
	}
	done := c.done
	s.commitsInFlight++
	c.done = func(now time.Time, r infra.CommitResult) {
		s.commitsInFlight--
		done(now, s.checkFence(r))
	}
	s.changes = append(s.changes, c)
}

// verifyOwnership commits nothing on the condition of the shard's row, which fences the
// shard if it has another owner. One such commit is in flight at a time.
func (s *Shard) verifyOwnership() {
	if s.verifying {
		return
	}
	s.verifying = true
	s.submitCommit(change{urgent: true, done: func(time.Time, infra.CommitResult) { s.verifying = false }})
}

// checkFence fences the shard if a conflict shows that another host owns it, or
// if the result is unknown. A conflict because this host rewrote the shard's row
// while the commit was in flight counts as not applied.
func (s *Shard) checkFence(r infra.CommitResult) infra.CommitResult {
	for _, row := range r.Conflicts {
		switch {
		case row.Key != s.fence.Key || s.fenced:
		case row.Version == s.fence.Version:
			return infra.CommitResult{Status: infra.CommitNotApplied}
		default:
			s.fenced = true
			event.ShardFenced.Log(s.log, slog.String("shard", s.name), slog.Uint64("epoch", s.epoch))
		}
	}
	if r.Status == infra.CommitUnknown {
		// The journal stopped retrying; only the table has the actual state.
		s.fenced = true
	}
	return r
}

// commitRecord commits the job's next record. It then calls applied, or refused
// if the record was not changed; it calls neither if the shard was fenced. After
// a conflict it removes the job from the shard. Starts of urgent jobs and cancellations are committed urgently; other changes
// may wait for the next transaction.
func (s *Shard) commitRecord(j *job, next task.Record, applied, refused func(now time.Time)) {
	j.committing = true
	s.submitCommit(change{
		conditions: []infra.Condition{{Key: jobKey(s.name, next.Spec.ID), Version: j.version}},
		writes:     []infra.Write{{Key: jobKey(s.name, next.Spec.ID), Value: encode(next)}},
		urgent:     next.State == task.Starting && next.Spec.Urgent || len(j.cancelWaiters) > 0,
		done: func(now time.Time, r infra.CommitResult) {
			j.committing = false
			if s.fenced {
				s.answerCancels(j, cancelReply{Code: cancelNotReady})
				return
			}
			switch r.Status {
			case infra.CommitApplied:
				j.rec = next
				j.version = r.Version
				applied(now)
			case infra.CommitConflict:
				refused(now)
				s.disown(now, j)
				return
			default:
				s.commitsPausedUntil = now.Add(commitRetryDelay)
				refused(now)
			}
			s.resumeDeferred(now, j)
		},
	})
}

// disown removes a job whose row was changed by another owner: another shard
// holds the job.
func (s *Shard) disown(now time.Time, j *job) {
	id := j.rec.Spec.ID
	event.JobOwnedElsewhere.Log(s.log, slog.String("job", id), slog.String("shard", s.name))
	if s.jobs[id] != j {
		return
	}
	switch {
	case j.rec.State == task.Pending:
		s.pending--
		s.planner.Withdraw(id)
	case j.rec.State.Active():
		s.freeRun(now, j, j.rec.Worker, false)
	}
	delete(s.jobs, id)
	delete(s.deferredReports, id)
	s.answerCancels(j, cancelReply{Code: cancelMissing})
}

// resumeDeferred handles the report and cancellations that waited for the job's
// commit. While commits are paused, a report continues to wait until
// retryDeferred.
func (s *Shard) resumeDeferred(now time.Time, j *job) {
	if j.committing {
		return
	}
	if now.Before(s.commitsPausedUntil) && j.deferredReport != nil {
		s.deferredReports[j.rec.Spec.ID] = j
		return
	}
	if deferredReport := j.deferredReport; deferredReport != nil {
		j.deferredReport = nil
		s.handleReport(now, s.worker(now, j.rec.Worker), *deferredReport)
	}
	if !j.committing && len(j.cancelWaiters) > 0 {
		s.cancelNow(now, j)
	}
}

// retryDeferred handles deferred reports again once commits are no longer
// paused.
func (s *Shard) retryDeferred(now time.Time) {
	if now.Before(s.commitsPausedUntil) {
		return
	}
	for id, j := range s.deferredReports {
		delete(s.deferredReports, id)
		s.resumeDeferred(now, j)
	}
}
