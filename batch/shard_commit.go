package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// put asks for a commit, under the shard's fence.
func (s *Shard) put(c change) {
	if !s.faults.noFence {
		c.conditions = append(c.conditions, s.fence)
	}
	done := c.done
	s.open++
	c.done = func(now time.Time, r infra.CommitResult) {
		s.open--
		done(now, s.checkFence(r))
	}
	s.changes = append(s.changes, c)
}

// checkFence notes that another host owns the shard. A commit that was under
// way while this host wrote the shard's row anew counts as not applied.
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
		// The journal gave up for good: what holds is in the table alone.
		s.fenced = true
	}
	return r
}

// advance commits the job's next record. applied or refused is called after.
// Starts of urgent jobs and cancellations are urgent; the end of a run can
// wait for the next transaction.
func (s *Shard) advance(j *job, next task.Record, applied, refused func(now time.Time)) {
	j.committing = true
	s.put(change{
		conditions: []infra.Condition{{Key: jobKey(s.name, next.Spec.ID), Version: j.version}},
		writes:     []infra.Write{{Key: jobKey(s.name, next.Spec.ID), Value: encode(next)}},
		urgent:     next.State == task.Starting && next.Spec.Urgent || len(j.cancels) > 0,
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
				s.heldUntil = now.Add(retryCommit)
				refused(now)
			}
			s.settle(now, j)
		},
	})
}

// disown forgets a job whose row is not as this owner left it: another shard
// holds it.
func (s *Shard) disown(now time.Time, j *job) {
	id := j.rec.Spec.ID
	event.JobDisowned.Log(s.log, slog.String("job", id), slog.String("shard", s.name))
	if s.jobs[id] != j {
		return
	}
	switch {
	case j.rec.State == task.Pending:
		s.pending--
		s.planner.Withdraw(id)
	case j.rec.State.Active():
		s.vacate(now, j, j.rec.Worker, false)
	}
	delete(s.jobs, id)
	delete(s.retries, id)
	s.answerCancels(j, cancelReply{Code: cancelMissing})
}

// settle takes up what waited for the job's commit.
func (s *Shard) settle(now time.Time, j *job) {
	if j.committing {
		return
	}
	if now.Before(s.heldUntil) && j.late != nil {
		s.retries[j.rec.Spec.ID] = j
		return
	}
	if late := j.late; late != nil {
		j.late = nil
		s.report(now, s.worker(now, j.rec.Worker), *late)
	}
	if !j.committing && len(j.cancels) > 0 {
		s.cancelNow(now, j)
	}
}

// retry commits again what was refused, once the hold is over.
func (s *Shard) retry(now time.Time) {
	if now.Before(s.heldUntil) {
		return
	}
	for id, j := range s.retries {
		delete(s.retries, id)
		s.settle(now, j)
	}
}
