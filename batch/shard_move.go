package batch

import (
	"log/slog"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// moveEvery is how often a shard looks for jobs to hand over.
	moveEvery = 2 * time.Second
	// moveAfter is how long a job waits before it may be handed over.
	moveAfter = 5 * time.Second
	// moveLimit bounds the jobs handed over at once.
	moveLimit = 16
	// checkAfter is how long a shard that accepted a job waits for word
	// before it reads the row, and expectFor how long it goes on.
	checkAfter = 3 * time.Second
	expectFor  = time.Minute
)

// surplus returns jobs that have waited long and go to the same zones.
func (s *Shard) surplus(now time.Time) []task.Spec {
	if !s.live() || now.Before(s.nextMove) || now.Before(s.heldUntil) || s.pending == 0 {
		return nil
	}
	s.nextMove = now.Add(moveEvery)
	var out []task.Spec
	for _, j := range s.jobs {
		if !s.movable(j) || now.Sub(j.queued) < moveAfter {
			continue
		}
		if len(out) > 0 && !slices.Equal(out[0].Zones, j.rec.Spec.Zones) {
			continue
		}
		if out = append(out, j.rec.SpecWithFloor()); len(out) == moveLimit {
			break
		}
	}
	return out
}

// movable reports whether the job may be handed over: it has no run and no
// change under way.
func (s *Shard) movable(j *job) bool { return j.rec.State == task.Pending && !j.committing }

// accepts returns which of the jobs offered the shard would take. It expects
// them from now on.
func (s *Shard) accepts(now time.Time, specs []task.Spec) []string {
	if !s.live() || s.pending > 0 || now.Before(s.heldUntil) || len(s.expected) >= moveLimit {
		return nil
	}
	var out []string
	for _, spec := range specs {
		if _, never := s.planner.NeverFits(spec); never || s.jobs[spec.ID] != nil {
			continue
		}
		s.expected[spec.ID] = now
		out = append(out, spec.ID)
	}
	return out
}

// moveOut commits the hand-over of a job to another shard, on condition that
// the owner that accepted it still owns that shard. done takes whether it took
// effect.
func (s *Shard) moveOut(now time.Time, id string, to infra.Condition, shard string, done func(bool)) {
	j := s.jobs[id]
	if j == nil || !s.live() || !s.movable(j) {
		done(false)
		return
	}
	j.committing = true
	s.pending--
	s.planner.Withdraw(id)
	s.put(change{
		conditions: []infra.Condition{to, {Key: jobKey(s.name, id), Version: j.version}},
		writes: []infra.Write{
			{Key: jobKey(s.name, id), Delete: true},
			{Key: jobKey(shard, id), Value: encode(j.rec)},
			{Key: refKey(id), Value: []byte(shard)},
		},
		deadline: now.Add(checkAfter),
		done: func(now time.Time, r infra.CommitResult) {
			j.committing = false
			if r.Status == infra.CommitApplied {
				delete(s.jobs, id)
				s.answerCancels(j, cancelReply{Code: cancelNotReady})
				event.JobMoved.Log(s.log, slog.String("job", id), slog.String("from", s.name), slog.String("to", shard))
				done(true)
				return
			}
			done(false)
			queued := j.queued
			s.enqueue(now, j)
			j.queued = queued
			s.settle(now, j)
		},
	})
}

// arrive takes in a job that was handed over to this shard.
func (s *Shard) arrive(now time.Time, row stored) {
	id := row.record.Spec.ID
	if _, ok := s.expected[id]; !ok || s.jobs[id] != nil || row.record.State != task.Pending {
		return
	}
	delete(s.expected, id)
	j := &job{rec: row.record, version: row.version}
	s.jobs[id] = j
	s.enqueue(now, j)
}

// overdue returns the jobs that were accepted and not heard of, and gives up
// those that were expected for long. A job whose hand-over took effect after
// that is found by a rescan.
func (s *Shard) overdue(now time.Time) []string {
	var out []string
	for id, since := range s.expected {
		switch waited := now.Sub(since); {
		case waited > expectFor:
			delete(s.expected, id)
		case waited > checkAfter:
			out = append(out, id)
		}
	}
	return out
}
