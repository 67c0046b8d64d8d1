package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// Keys of the rows in the table service.
const (
	// JobPrefix begins the key of a job's row, ProgressPrefix that of its
	// progress; the job's ID follows.
	JobPrefix      = "job/"
	ProgressPrefix = "progress/"
	// RosterPrefix begins the key of a part of the roster; its number follows.
	RosterPrefix = "roster/"
	// PagesPrefix begins the key of a page of a job's progress; the job's ID, a slash and the
	// page's number follow.
	PagesPrefix = "pages/"
	// EstimatesKey is the key of the interference estimates.
	EstimatesKey = "lessons"
)

// Flush collects the changes that must become durable, in at most limit writes.
// The caller commits the batch and passes it to MarkFlushed, or discards the
// State.
func (s *State) Flush(now time.Time, limit int) (*Batch, error) {
	return s.flush(now, limit, func(*job) bool { return true })
}

// FlushUrgent collects like Flush, but only changes that a caller waits for:
// new jobs, finished jobs and those marked urgent. The progress of other jobs
// is written less often, several changes at once.
func (s *State) FlushUrgent(now time.Time, limit int) (*Batch, error) {
	return s.flush(now, limit, (*job).needsUrgentFlush)
}

// needsUrgentFlush reports whether a caller may wait for the job's change to
// become durable.
func (j *job) needsUrgentFlush() bool {
	return j.flushable() && (j.urgent || !j.rowStored || j.state.Final())
}

// HasUrgentChanges reports whether FlushUrgent would collect anything.
func (s *State) HasUrgentChanges() bool {
	return len(s.dirtyRosterParts) > 0 || slices.ContainsFunc(s.dirty, (*job).needsUrgentFlush)
}

// MarkUrgent makes a job's unflushed change urgent.
func (s *State) MarkUrgent(id string) {
	if j := s.jobs[id]; j != nil && j.dirty {
		j.urgent = true
	}
}

// flush collects changes of the roster, of the estimates if these are due, and of
// the jobs for which include returns true, and no longer counts them as changed.
// If no changed job remains, it also collects the ends that may be acknowledged
// once the batch is durable, and deletes expired jobs.
func (s *State) flush(now time.Time, limit int, include func(*job) bool) (*Batch, error) {
	b := &Batch{RosterChanged: s.roster.changed, left: newWriteBudget(s.limits(), limit)}
	if err := s.flushRoster(now, b); err != nil {
		return nil, err
	}
	s.claimRosterEpochs(now, b)
	s.collectUnleased(now, b)
	if s.estimatesChanged && now.Sub(s.estimatesFlushedAt) >= estimatesInterval {
		if err := s.flushEstimates(now, b); err != nil {
			return nil, err
		}
	}
	complete, err := s.flushJobs(now, b, include)
	if err != nil {
		return nil, err
	}
	unreadableComplete, err := s.flushUnreadable(b)
	if err != nil {
		return nil, err
	}
	if complete && unreadableComplete {
		b.ends = s.unacknowledged()
		s.flushExpired(now, b)
	}
	return b, nil
}

// flushJobs collects the changed jobs for which include returns true. It returns false if a
// changed job remains, not counting those that are set aside, whose ends it collects instead.
func (s *State) flushJobs(now time.Time, b *Batch, include func(*job) bool) (complete bool, err error) {
	complete = true
	var remaining []*job
	for _, j := range s.dirty {
		if !j.aside.until.IsZero() && !now.Before(j.aside.until) {
			j.aside.until = time.Time{}
		}
		if j.aside.waits(now, j.state) {
			remaining = append(remaining, j)
			written, err := s.flushEndsOf(b, j)
			if err != nil {
				return false, err
			}
			complete = complete && written
			continue
		}
		collected := false
		if include(j) {
			if collected, err = s.collectJob(b, j); err != nil {
				return false, err
			}
		}
		if !collected {
			remaining, complete = append(remaining, j), false
			continue
		}
		j.dirty, j.urgent = false, false
	}
	s.dirty = remaining
	return complete, nil
}

// limits returns the limits of the table service.
func (s *State) limits() infra.TableLimits { return s.cfg.Limits.OrDefault() }

// collectJob writes a job's progress and, the first time, its row. It returns false if the
// batch has no room for all of it.
func (s *State) collectJob(b *Batch, j *job) (complete bool, err error) {
	f := &batchJob{job: j, state: j.state, deletesEnds: j.hasEndsRow}
	var writes []infra.Write
	if !j.rowStored {
		value, err := msgpack.Marshal(JobRow{Job: *j.spec, Queue: j.queue})
		if err != nil {
			return false, errors.Wrap(err, "encode job row")
		}
		writes = append(writes, infra.Write{Key: JobPrefix + j.spec.ID, Value: value})
	}
	if j.hasEndsRow {
		writes = append(writes, infra.Write{Key: EndsPrefix + j.spec.ID, Delete: true})
	}
	if j.pages.active && !j.state.Final() {
		return s.collectPages(b, f, writes)
	}
	f.stateWritten, f.complete = true, true
	if j.rowStored || j.state != workload.Queued {
		value, err := msgpack.Marshal(j.progress())
		if err != nil {
			return false, errors.Wrap(err, "encode progress row")
		}
		if len(value) > s.limits().RowBytes {
			j.pages.begin(s.limits(), j.spec.TotalTasks())
			return s.collectPages(b, f, writes)
		}
		writes = append(writes, infra.Write{Key: ProgressPrefix + j.spec.ID, Value: value})
	}
	if !b.add(batchUnit{job: f}, writes...) {
		return false, nil
	}
	j.hasEndsRow = false
	if !j.state.Final() {
		j.eachTask(f.collectTask)
	}
	j.collected = true
	return true, nil
}

// unacknowledged returns the recorded ends that may be acknowledged and aren't durable.
func (s *State) unacknowledged() []durableEnds {
	var ends []durableEnds
	for _, w := range s.workers {
		if w.ends.prefix > w.acknowledged {
			ends = append(ends, durableEnds{w.life, w.ends.prefix})
		}
	}
	return ends
}

// expiredFlushInterval is the time between two searches for jobs to remove, which visit all
// jobs. It is short beside the retention.
const expiredFlushInterval = 500 * time.Millisecond

// flushExpired deletes the pages of ended jobs, the rows of jobs that ended more than Retention
// ago, and those that no job has. It keeps less of ended jobs in memory.
func (s *State) flushExpired(now time.Time, b *Batch) {
	if now.Sub(s.expiredFlushedAt) < expiredFlushInterval {
		return
	}
	s.expiredFlushedAt = now
	for _, j := range s.jobs {
		if j.state.Final() && j.durable == j.state && !j.hasRuns() && !j.deletePages(b) {
			return
		}
	}
	s.compactEnded(now)
	if !s.forgetEnded(now, b) {
		s.expiredFlushedAt = time.Time{} // the next batch goes on
		return
	}
	for len(s.orphans) > 0 && b.add(batchUnit{}, deletionOf(s.orphans[0])) {
		s.orphans = s.orphans[1:]
	}
}

// deletionOf returns the write that deletes a row.
func deletionOf(key string) infra.Write { return infra.Write{Key: key, Delete: true} }

// hasRuns reports whether a run of the job may be alive.
func (j *job) hasRuns() bool {
	found := false
	j.eachTask(func(t *task) { found = found || len(t.runs) > 0 })
	return found
}

// MarkFlushed records that a batch is durable: jobs whose rows it wrote may
// start, workers that it added to the roster may get orders, and the ends that it
// covers are acknowledged to their workers.
func (s *State) MarkFlushed(b *Batch) {
	for _, f := range b.jobs() {
		f.markFlushed()
	}
	for i := range b.units {
		if r := b.units[i].roster; r != nil {
			s.markListed(r)
		}
	}
	s.markUnleased(b)
	for _, e := range b.ends {
		e.life.acknowledged = max(e.life.acknowledged, e.number)
	}
}

// markFlushed records that what a batch wrote of the job is durable.
func (f *batchJob) markFlushed() {
	j := f.job
	j.rowStored = true
	if f.stateWritten {
		j.durable = f.state
	}
	if f.state.Final() {
		j.eachTask(func(t *task) { t.locations = nil })
	}
	j.pages.markStored(f)
	if f.complete {
		j.aside = setAside{}
	}
}

// markListed records that a part of the roster is durable.
func (s *State) markListed(r *batchRoster) {
	for _, e := range r.workers {
		if w := s.workers[e.id]; w != nil {
			w.inRoster = w.inRoster || e.address == w.info.Address
			w.leasable = w.leasable || e.leasedIn == s.cfg.Epoch
		}
	}
	s.removedUnwritten[r.part] -= r.removed
}

// HasUnflushedChanges reports whether any change isn't durable yet.
func (s *State) HasUnflushedChanges() bool {
	return slices.ContainsFunc(s.dirty, (*job).flushable) || len(s.dirtyRosterParts) > 0 ||
		slices.ContainsFunc(s.byID(), func(w *worker) bool { return w.ends.prefix > w.acknowledged })
}
