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
	// offerInterval is how often a shard offers pending jobs to another shard.
	offerInterval = 2 * time.Second
	// offerAfter is how long a job is pending before it may be offered.
	offerAfter = 5 * time.Second
	// maxOffered is the largest number of jobs offered or expected at once.
	maxOffered = 16
	// expectedCheckInterval is how long a shard waits for the notification of
	// an accepted job before it reads the row; expectTimeout is how long it
	// keeps expecting the job.
	expectedCheckInterval = 3 * time.Second
	expectTimeout         = time.Minute
)

// offerableJobs returns up to maxOffered jobs that have been pending for
// offerAfter and have the same zones. It returns none if it was called with
// pending jobs less than offerInterval ago.
func (s *Shard) offerableJobs(now time.Time) []task.Spec {
	if !s.acceptsWork() || now.Before(s.nextOffer) || now.Before(s.commitsPausedUntil) || s.pending == 0 {
		return nil
	}
	s.nextOffer = now.Add(offerInterval)
	var out []task.Spec
	for _, j := range s.jobs {
		if !s.movable(j) || now.Sub(j.queuedAt) < offerAfter {
			continue
		}
		if len(out) > 0 && !slices.Equal(out[0].Zones, j.rec.Spec.Zones) {
			continue
		}
		if out = append(out, j.rec.SpecWithFloor()); len(out) == maxOffered {
			break
		}
	}
	return out
}

// movable reports whether the job may be handed over: it is pending and has no
// commit in flight.
func (s *Shard) movable(j *job) bool { return j.rec.State == task.Pending && !j.committing }

// acceptOffer returns the IDs of the offered jobs that the shard accepts, and
// expects them from now on. While jobs are pending here it accepts only those from a
// closed availability zone, which can't start there.
func (s *Shard) acceptOffer(now time.Time, specs []task.Spec, fromClosedZone bool) []string {
	if !s.acceptsWork() || s.zoneClosed || (s.pending > 0 && !fromClosedZone) || now.Before(s.commitsPausedUntil) || len(s.expected) >= maxOffered {
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

// handOver commits the hand-over of a job to another shard, on condition that
// the owner that accepted it still owns that shard. done is called with whether
// the commit was applied.
func (s *Shard) handOver(now time.Time, id string, to infra.Condition, shard string, done func(bool)) {
	j := s.jobs[id]
	if j == nil || !s.acceptsWork() || !s.movable(j) {
		done(false)
		return
	}
	j.committing = true
	s.pending--
	s.planner.Withdraw(id)
	s.submitCommit(change{
		conditions: []infra.Condition{to, {Key: jobKey(s.name, id), Version: j.version}},
		writes: []infra.Write{
			{Key: jobKey(s.name, id), Delete: true},
			{Key: jobKey(shard, id), Value: encode(j.rec)},
			{Key: refKey(id), Value: []byte(shard)},
		},
		deadline: now.Add(expectedCheckInterval),
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
			queuedAt := j.queuedAt
			s.enqueue(now, j)
			j.queuedAt = queuedAt
			s.resumeDeferred(now, j)
		},
	})
}

// adoptMoved adds a job that was handed over to this shard, if it is expected.
func (s *Shard) adoptMoved(now time.Time, row storedRecord) {
	id := row.record.Spec.ID
	if _, ok := s.expected[id]; !ok || s.jobs[id] != nil || row.record.State != task.Pending {
		return
	}
	delete(s.expected, id)
	j := &job{rec: row.record, version: row.version}
	s.jobs[id] = j
	s.enqueue(now, j)
}

// overdueJobs returns the accepted jobs whose notification is overdue, and stops
// expecting those accepted more than expectTimeout ago. A job handed over later
// than that is found by a rescan.
func (s *Shard) overdueJobs(now time.Time) []string {
	var out []string
	for id, since := range s.expected {
		switch waited := now.Sub(since); {
		case waited > expectTimeout:
			delete(s.expected, id)
		case waited > expectedCheckInterval:
			out = append(out, id)
		}
	}
	return out
}
