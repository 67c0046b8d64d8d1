package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// cancelCode is the result of a cancellation.
type cancelCode uint8

// The results of a cancellation.
const (
	_ cancelCode = iota
	// cancelDone: the job is cancelled, or will be once its run has ended.
	cancelDone
	// cancelNeverRan: the job was cancelled before any of its runs started.
	cancelNeverRan
	// cancelFinished: the job had completed its work.
	cancelFinished
	// cancelMissing: the shard has no such job.
	cancelMissing
	// cancelNotReady: this host does not own the shard or has not replayed it.
	cancelNotReady
	// cancelRefused: the table refused the commit.
	cancelRefused
)

// cancelReply is the reply to a cancellation.
type cancelReply struct {
	Code   cancelCode `msgpack:"c"`
	Status Status     `msgpack:"s"`
}

// cancel cancels a job. reply is called once the cancellation is durable or has
// failed.
func (s *Shard) cancel(now time.Time, id string, reply func(cancelReply)) {
	if !s.acceptsWork() {
		reply(cancelReply{Code: cancelNotReady})
		return
	}
	j := s.jobs[id]
	if j == nil {
		reply(cancelReply{Code: cancelMissing})
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, reply)
	if !j.committing {
		s.cancelNow(now, j)
	}
}

// cancelNow commits the cancellation of a job that has no commit in flight. A
// durable start that was never sent has no run, so the job ends immediately.
func (s *Shard) cancelNow(now time.Time, j *job) {
	before := j.rec.State
	next, t := j.rec.CancelRequested(now.UnixMilli())
	if t != task.Applied {
		code := cancelDone
		if before == task.Done {
			code = cancelFinished
		}
		s.answerCancels(j, cancelReply{Code: code})
		return
	}
	unsent := next.State == task.Stopping && !j.sent
	if unsent {
		next, _ = next.Refused(next.Epoch, "cancelled", now.UnixMilli())
	}
	code := cancelDone
	if next.State == task.Cancelled && (next.Epoch == 0 || unsent && next.Epoch == 1) {
		code = cancelNeverRan
	}
	if before == task.Pending {
		s.planner.Withdraw(j.rec.Spec.ID)
	}
	host := j.rec.Worker
	s.commitRecord(j, next, func(now time.Time) {
		s.cancelled(now, j, before, host)
		s.answerCancels(j, cancelReply{Code: code})
	}, func(now time.Time) {
		if before == task.Pending {
			s.planner.Enqueue(now, j.rec.SpecWithFloor())
		}
		s.answerCancels(j, cancelReply{Code: cancelRefused})
	})
}

// cancelled updates the shard after a durable cancellation.
func (s *Shard) cancelled(now time.Time, j *job, before task.State, host string) {
	switch {
	case before == task.Pending:
		s.pending--
	case j.rec.State == task.Cancelled && before.Active():
		if w := s.workers[host]; w != nil {
			w.health.clearProbe(j.rec.Spec.ID)
		}
		s.freeRun(now, j, host, false)
	case j.rec.State == task.Stopping:
		s.requestExchangeFor(j)
	}
}

// answerCancels replies to all pending cancellations of the job.
func (s *Shard) answerCancels(j *job, r cancelReply) {
	r.Status = s.status(j)
	waiting := j.cancelWaiters
	j.cancelWaiters = nil
	for _, reply := range waiting {
		reply(r)
	}
}

// status returns the status of a job.
func (s *Shard) status(j *job) Status {
	id := j.rec.Spec.ID
	return Status{ID: id, Shard: s.name, State: j.rec.State, Record: j.rec, Explanation: s.planner.Explain(id)}
}
