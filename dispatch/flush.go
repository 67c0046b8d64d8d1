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
	// EstimatesKey is the key of the interference estimates.
	EstimatesKey = "lessons"
)

// Batch is a set of changes that are committed together.
type Batch struct {
	Writes []infra.Write
	// RosterEpochs is set if the owner's row must say from this commit on that the roster
	// tells in which epochs workers got leases.
	RosterEpochs bool
	// RosterChanged is set if the owner's row must say from this commit on that this owner
	// may have added workers to the roster or removed some.
	RosterChanged bool
	// Unleased holds the workers that the owner's row names from this commit on as those that
	// get no leases. UnleasedChanged is set if they are others than before.
	Unleased        []UnleasedWorker
	UnleasedChanged bool
	// jobs holds the jobs of the batch with the states that it writes.
	jobs []batchJob
	// roster holds the workers in the roster parts that it writes.
	roster []rosterEntry
	// removed counts, by part of the roster that it writes, the workers removed before.
	removed map[int]int
	// ends holds the ends that are durable once the batch is.
	ends []durableEnds
}

// RemovedWorkers returns the number of workers that the batch removes from the roster.
func (b *Batch) RemovedWorkers() int {
	removed := 0
	for _, n := range b.removed {
		removed += n
	}
	return removed
}

// durableEnds says up to which number the ends of a life of a worker are durable.
type durableEnds struct {
	life   *life
	number uint64
}

// rosterEntry is a worker as a batch writes it to the roster.
type rosterEntry struct {
	id, address string
	leasedIn    uint64
}

// batchJob is a job as a batch writes it.
type batchJob struct {
	job   *job
	state workload.State
	// locations holds, by task, the hashes of the workers of its runs.
	locations map[*task][]uint32
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 && len(b.ends) == 0 && !b.RosterEpochs }

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
func (j *job) needsUrgentFlush() bool { return j.urgent || !j.rowStored || j.state.Final() }

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
	b := &Batch{RosterChanged: s.roster.changed}
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
	var remaining []*job
	for _, j := range s.dirty {
		if len(b.Writes)+j.maxWrites() > limit || !include(j) {
			remaining = append(remaining, j)
			continue
		}
		if err := b.addJob(j); err != nil {
			return nil, err
		}
		j.dirty, j.urgent = false, false
	}
	s.dirty = remaining
	complete, err := s.flushUnreadable(b, limit)
	if err != nil {
		return nil, err
	}
	if len(s.dirty) == 0 && complete {
		b.ends = s.unacknowledged()
		s.flushExpired(now, b, limit)
	}
	return b, nil
}

// maxWrites is the maximum number of writes of addJob.
func (j *job) maxWrites() int {
	if j.hasEndsRow {
		return 3
	}
	return 2
}

// addJob writes a job's progress and, the first time, its row. The run
// locations in the row count as durable from now on: a later owner may read
// them before this one learns that the commit succeeded.
func (b *Batch) addJob(j *job) error {
	if !j.rowStored {
		value, err := msgpack.Marshal(JobRow{Job: *j.spec, Queue: j.queue})
		if err != nil {
			return errors.Wrap(err, "encode job row")
		}
		b.Writes = append(b.Writes, infra.Write{Key: JobPrefix + j.spec.ID, Value: value})
	}
	if j.rowStored || j.state != workload.Queued {
		value, err := msgpack.Marshal(j.progress())
		if err != nil {
			return errors.Wrap(err, "encode progress row")
		}
		b.Writes = append(b.Writes, infra.Write{Key: ProgressPrefix + j.spec.ID, Value: value})
	}
	if j.hasEndsRow {
		b.Writes = append(b.Writes, infra.Write{Key: EndsPrefix + j.spec.ID, Delete: true})
		j.hasEndsRow = false
	}
	locations := j.locations()
	for t, workers := range locations {
		t.locations = appendMissing(t.locations, workers)
	}
	b.jobs = append(b.jobs, batchJob{j, j.state, locations})
	j.collected = true
	return nil
}

// appendMissing appends the hashes that aren't in the list yet.
func appendMissing(hashes, more []uint32) []uint32 {
	for _, hash := range more {
		if !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// locations returns, by task, the hashes of the workers of the job's runs.
func (j *job) locations() map[*task][]uint32 {
	if j.state.Final() {
		return nil
	}
	locations := map[*task][]uint32{}
	j.eachTask(func(t *task) {
		for _, r := range t.runs {
			locations[t] = append(locations[t], r.worker.hash)
		}
	})
	return locations
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

// flushExpired removes jobs that finished more than Retention ago, and deletes
// their rows.
func (s *State) flushExpired(now time.Time, b *Batch, limit int) {
	if now.Sub(s.expiredFlushedAt) < expiredFlushInterval {
		return
	}
	s.expiredFlushedAt = now
	for id, j := range s.jobs {
		if len(b.Writes)+2 > limit {
			return
		}
		if j.state.Final() && j.durable == j.state && now.Sub(j.finishedAt) > s.cfg.Retention && !j.hasRuns() {
			s.removeJob(id)
			b.Writes = append(b.Writes,
				infra.Write{Key: JobPrefix + id, Delete: true}, infra.Write{Key: ProgressPrefix + id, Delete: true})
		}
	}
}

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
	for _, f := range b.jobs {
		f.job.rowStored = true
		f.job.durable = f.state
		f.job.eachTask(func(t *task) {
			t.locations = f.locations[t]
			t.markStored(t.locations)
		})
	}
	for _, e := range b.roster {
		if w := s.workers[e.id]; w != nil {
			w.inRoster = w.inRoster || e.address == w.info.Address
			w.leasable = w.leasable || e.leasedIn == s.cfg.Epoch
		}
	}
	s.markUnleased(b)
	for part, n := range b.removed {
		s.removedUnwritten[part] -= n
	}
	for _, e := range b.ends {
		e.life.acknowledged = max(e.life.acknowledged, e.number)
	}
}

// HasUnflushedChanges reports whether any change isn't durable yet.
func (s *State) HasUnflushedChanges() bool {
	return len(s.dirty) > 0 || len(s.dirtyRosterParts) > 0 ||
		slices.ContainsFunc(s.byID(), func(w *worker) bool { return w.ends.prefix > w.acknowledged })
}
