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
	// EstimatesKey is the key of what is known of pairs of images.
	EstimatesKey = "lessons"
)

// Batch is a set of changes that become durable together.
type Batch struct {
	Writes []infra.Write
	// jobs holds the jobs in the batch and the states that it writes.
	jobs   []flushed
	roster []string
	// seen holds the ends that are durable once the batch is.
	seen map[string]uint64
}

// flushed is a job as a batch writes it.
type flushed struct {
	job   *job
	state workload.State
	// marks are the workers of its runs.
	marks map[*task][]uint32
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 && len(b.seen) == 0 }

// Flush collects what must become durable, in at most limit writes. The
// caller commits the batch and reports it with Flushed, or drops the state.
func (s *State) Flush(now time.Time, limit int) (*Batch, error) {
	return s.flush(now, limit, func(*job) bool { return true })
}

// FlushUrgent is Flush for what somebody waits for: new jobs, those that are
// over, and those that were hastened. The progress of others changes several
// times while it waits, and is written once.
func (s *State) FlushUrgent(now time.Time, limit int) (*Batch, error) {
	return s.flush(now, limit, (*job).waitedFor)
}

// waitedFor reports whether somebody waits for the job's change to be durable.
func (j *job) waitedFor() bool { return j.urgent || !j.rowStored || j.state.Final() }

// HasUrgentChanges reports whether there is something that FlushUrgent would collect.
func (s *State) HasUrgentChanges() bool {
	return len(s.rosterChanged) > 0 || slices.ContainsFunc(s.dirty, (*job).waitedFor)
}

// MarkUrgent makes a job's change urgent.
func (s *State) MarkUrgent(id string) {
	if j := s.jobs[id]; j != nil && j.dirty {
		j.urgent = true
	}
}

// flush collects what must become durable of the jobs that are wanted.
func (s *State) flush(now time.Time, limit int, wanted func(*job) bool) (*Batch, error) {
	b := &Batch{}
	if err := s.flushRoster(b); err != nil {
		return nil, err
	}
	if s.learned && now.Sub(s.lessonsAt) >= lessonsEvery {
		if err := s.flushLessons(now, b); err != nil {
			return nil, err
		}
	}
	var rest []*job
	for _, j := range s.dirty {
		if len(b.Writes)+2 > limit || !wanted(j) {
			rest = append(rest, j)
			continue
		}
		if err := b.addJob(j); err != nil {
			return nil, err
		}
		j.dirty, j.urgent = false, false
	}
	s.dirty = rest
	if len(s.dirty) == 0 {
		b.seen = s.unacknowledged()
		s.flushRemoved(now, b, limit)
	}
	return b, nil
}

// addJob writes a job's progress and, the first time, its row. What it says of
// runs counts from now on: while the batch is under way, a task that was started
// elsewhere could run a second time under the next owner, who goes by it.
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
	marks := j.marks()
	for t, workers := range marks {
		t.marks = appendMissing(t.marks, workers)
	}
	b.jobs = append(b.jobs, flushed{j, j.state, marks})
	return nil
}

// appendMissing appends the marks that aren't there yet.
func appendMissing(marks, more []uint32) []uint32 {
	for _, m := range more {
		if !slices.Contains(marks, m) {
			marks = append(marks, m)
		}
	}
	return marks
}

// marks returns the workers of the job's runs.
func (j *job) marks() map[*task][]uint32 {
	if j.state.Final() {
		return nil
	}
	marks := map[*task][]uint32{}
	j.eachTask(func(t *task) {
		for _, r := range t.runs {
			marks[t] = append(marks[t], r.worker.mark)
		}
	})
	return marks
}

// unacknowledged returns the last end seen at each worker that isn't durable.
func (s *State) unacknowledged() map[string]uint64 {
	var seen map[string]uint64
	for id, w := range s.workers {
		if w.seen > w.acknowledged {
			if seen == nil {
				seen = map[string]uint64{}
			}
			seen[id] = w.seen
		}
	}
	return seen
}

// flushRemoved deletes the rows of jobs that are over for longer than they
// can be asked for.
func (s *State) flushRemoved(now time.Time, b *Batch, limit int) {
	for id, j := range s.jobs {
		if len(b.Writes)+2 > limit {
			return
		}
		if j.state.Final() && j.durable == j.state && now.Sub(j.overAt) > s.cfg.Retention && !j.hasRuns() {
			delete(s.jobs, id)
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

// MarkFlushed takes in that a batch is durable.
func (s *State) MarkFlushed(b *Batch) {
	for _, f := range b.jobs {
		f.job.rowStored = true
		f.job.durable = f.state
		f.job.eachTask(func(t *task) { t.marks = f.marks[t] })
	}
	for _, id := range b.roster {
		if w := s.workers[id]; w != nil {
			w.rostered = true
		}
	}
	for id, n := range b.seen {
		if w := s.workers[id]; w != nil {
			w.acknowledged = max(w.acknowledged, n)
		}
	}
}

// HasUnflushedChanges reports whether changes wait to become durable.
func (s *State) HasUnflushedChanges() bool {
	return len(s.dirty) > 0 || len(s.rosterChanged) > 0 || len(s.unacknowledged()) > 0
}
