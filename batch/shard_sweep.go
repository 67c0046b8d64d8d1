package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

const (
	// sweepInterval is how often terminal jobs past their retention are
	// deleted.
	sweepInterval = time.Minute
	// maxSweptJobs is the largest number of jobs deleted at once.
	maxSweptJobs = 64
)

// sweep deletes terminal jobs past their retention.
func (s *Shard) sweep(now time.Time) {
	if now.Before(s.nextSweep) || now.Before(s.commitsPausedUntil) {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	oldest := now.Add(-s.limits.retention).UnixMilli()
	dropped := 0
	for id, j := range s.jobs {
		if j.committing || !j.rec.State.Terminal() || j.rec.FinishedUnixMS > oldest {
			continue
		}
		s.deleteJob(id, j)
		if dropped++; dropped == maxSweptJobs {
			s.nextSweep = now.Add(time.Second)
			return
		}
	}
}

// deleteJob deletes a job with its record, reference and idempotency rows.
func (s *Shard) deleteJob(id string, j *job) {
	j.committing = true
	writes := []infra.Write{
		{Key: jobKey(s.name, id), Delete: true},
		{Key: refKey(id), Delete: true},
	}
	if spec := j.rec.Spec; spec.Key != "" {
		writes = append(writes, infra.Write{Key: idempotencyKey(spec.Team, spec.Key), Delete: true})
	}
	own := infra.Condition{Key: jobKey(s.name, id), Version: j.version}
	s.submitCommit(change{conditions: []infra.Condition{own}, writes: writes, done: func(now time.Time, r infra.CommitResult) {
		j.committing = false
		if r.Status != infra.CommitNotApplied {
			delete(s.jobs, id)
			s.answerCancels(j, cancelReply{Code: cancelMissing})
			return
		}
		s.commitsPausedUntil = now.Add(commitRetryDelay)
		s.resumeDeferred(now, j)
	}})
}
