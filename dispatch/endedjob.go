package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// endedJob is what is kept of a job that has ended, until it can't be queried any more.
type endedJob struct {
	state workload.State
	// reason is why it has failed, queue the queue whose memory it counts for.
	reason, queue string
	finishedAt    time.Time
}

const (
	// endedJobBytes is about how much memory an ended job needs, with its ID.
	endedJobBytes = 256
	// compactAfter is how long a job is kept as a whole after its end: some more than a long
	// poll, so that late reports of its runs find it.
	compactAfter = 2 * time.Second
	// maxWholeRestored is the number of jobs from which an owner doesn't restore ended ones as a
	// whole, as they may be more than its memory holds.
	maxWholeRestored = 1000
)

// compactEnded replaces jobs that ended a while ago by what callers may still ask for.
func (s *State) compactEnded(now time.Time) {
	for _, j := range s.jobs {
		if j.state.Final() && now.Sub(j.finishedAt) >= compactAfter && j.settled() {
			s.compact(j)
		}
	}
}

// settled reports whether nothing of an ended job is left to do: its end is durable, no run of it
// may be alive, and the store has no rows of it besides its own and its progress.
func (j *job) settled() bool {
	return j.durable == j.state && !j.dirty && !j.hasEndsRow && len(j.pages.stored) == 0 && !j.hasRuns()
}

// compact replaces an ended job.
func (s *State) compact(j *job) {
	j.eachTask(func(t *task) {
		for _, c := range t.crashes {
			s.crashedUnder[c.worker] = slices.DeleteFunc(s.crashedUnder[c.worker], func(other *task) bool { return other == t })
			if len(s.crashedUnder[c.worker]) == 0 {
				delete(s.crashedUnder, c.worker)
			}
		}
	})
	s.removeJob(j.spec.ID)
	s.keepEnded(j.spec.ID, endedJob{state: j.state, reason: j.reason, queue: j.queue.Name, finishedAt: j.finishedAt})
}

// keepEnded adds a job to those that ended a while ago.
func (s *State) keepEnded(id string, e endedJob) {
	s.ended[id] = e
	s.endedOrder = append(s.endedOrder, id)
	s.hold(e.queue, endedJobBytes)
}

// forgetEnded deletes the rows of the jobs that ended more than Retention ago. It returns false if
// there is no room in the batch for all of them.
func (s *State) forgetEnded(now time.Time, b *Batch) bool {
	for len(s.endedOrder) > 0 {
		id := s.endedOrder[0]
		ended := s.ended[id]
		if now.Sub(ended.finishedAt) <= s.cfg.Retention {
			break
		}
		if !b.add(batchUnit{}, deletionOf(JobPrefix+id), deletionOf(ProgressPrefix+id)) {
			return false
		}
		s.endedOrder = s.endedOrder[1:]
		delete(s.ended, id)
		s.hold(ended.queue, -endedJobBytes)
	}
	return true
}
