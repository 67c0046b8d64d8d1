package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// cancelCode says what became of a cancellation.
type cancelCode uint8

// The results of a cancellation.
const (
	_ cancelCode = iota
	// cancelDone: the job is cancelled, or will be once its run has ended.
	cancelDone
	// cancelNeverRan: the job was cancelled before any run of it began.
	cancelNeverRan
	// cancelFinished: the job had completed its work.
	cancelFinished
	// cancelMissing: there is no such job here.
	cancelMissing
	// cancelNotReady: this host does not own the shard, or not yet.
	cancelNotReady
	// cancelRefused: the table refused the commit.
	cancelRefused
)

// cancelReply is the answer to a cancellation.
type cancelReply struct {
	Code   cancelCode `msgpack:"c"`
	Status Status     `msgpack:"s"`
}

// cancel asks for the end of a job. reply is called once it is durable.
func (s *Shard) cancel(now time.Time, id string, reply func(cancelReply)) {
	if !s.live() {
		reply(cancelReply{Code: cancelNotReady})
		return
	}
	j := s.jobs[id]
	if j == nil {
		reply(cancelReply{Code: cancelMissing})
		return
	}
	j.cancels = append(j.cancels, reply)
	if !j.committing {
		s.cancelNow(now, j)
	}
}

// cancelNow commits the cancellation of a job that has no commit under way. A
// start that is durable but was never sent has not run: it ends at once.
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
	s.advance(j, next, func(now time.Time) {
		s.cancelled(now, j, before, host)
		s.answerCancels(j, cancelReply{Code: code})
	}, func(now time.Time) {
		if before == task.Pending {
			s.planner.Enqueue(now, j.rec.SpecWithFloor())
		}
		s.answerCancels(j, cancelReply{Code: cancelRefused})
	})
}

// cancelled carries out what follows from a durable cancellation.
func (s *Shard) cancelled(now time.Time, j *job, before task.State, host string) {
	switch {
	case before == task.Pending:
		s.pending--
	case j.rec.State == task.Cancelled && before.Active():
		if w := s.workers[host]; w != nil {
			w.health.ended(j.rec.Spec.ID)
		}
		s.vacate(now, j, host, false)
	case j.rec.State == task.Stopping:
		s.hurry(j)
	}
}

// answerCancels tells all who wait for the job's cancellation.
func (s *Shard) answerCancels(j *job, r cancelReply) {
	r.Status = s.status(j)
	waiting := j.cancels
	j.cancels = nil
	for _, reply := range waiting {
		reply(r)
	}
}

// status returns what is told of a job.
func (s *Shard) status(j *job) Status {
	id := j.rec.Spec.ID
	return Status{ID: id, Shard: s.name, State: j.rec.State, Record: j.rec, Explanation: s.planner.Explain(id)}
}
