package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

const (
	// sweepEvery is how often terminal jobs past their retention are dropped.
	sweepEvery = time.Minute
	// sweepLimit bounds the jobs dropped at once.
	sweepLimit = 64
)

// sweep drops terminal jobs past their retention, with the rows that lead to
// them.
func (s *Shard) sweep(now time.Time) {
	if now.Before(s.nextSweep) || now.Before(s.heldUntil) {
		return
	}
	s.nextSweep = now.Add(sweepEvery)
	oldest := now.Add(-s.limits.retention).UnixMilli()
	dropped := 0
	for id, j := range s.jobs {
		if j.committing || !j.rec.State.Terminal() || j.rec.FinishedUnixMS > oldest {
			continue
		}
		s.forget(id, j)
		if dropped++; dropped == sweepLimit {
			s.nextSweep = now.Add(time.Second)
			return
		}
	}
}

// forget deletes a job's rows.
func (s *Shard) forget(id string, j *job) {
	j.committing = true
	writes := []infra.Write{
		{Key: jobKey(s.name, id), Delete: true},
		{Key: refKey(id), Delete: true},
	}
	if spec := j.rec.Spec; spec.Key != "" {
		writes = append(writes, infra.Write{Key: idempotencyKey(spec.Team, spec.Key), Delete: true})
	}
	own := infra.Condition{Key: jobKey(s.name, id), Version: j.version}
	s.put(change{conditions: []infra.Condition{own}, writes: writes, done: func(now time.Time, r infra.CommitResult) {
		j.committing = false
		if r.Status != infra.CommitNotApplied {
			delete(s.jobs, id)
			s.answerCancels(j, cancelReply{Code: cancelMissing})
			return
		}
		s.heldUntil = now.Add(retryCommit)
		s.settle(now, j)
	}})
}
