package dispatch

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// JobRow is the durable form of an accepted job; it never changes.
type JobRow struct {
	Job   workload.Job   `msgpack:"j"`
	Queue workload.Queue `msgpack:"p"`
}

// ProgressRow is the durable form of a job's progress.
type ProgressRow struct {
	State workload.State `msgpack:"s"`
	// Done holds, for each step of each occurrence in turn, one bit per task.
	Done [][]byte `msgpack:"d,omitempty"`
	// Failed holds the failed runs, for tasks that have any.
	Failed []FailedRuns `msgpack:"f,omitempty"`
	// Crashed holds the workers lost under tasks, for tasks that have any.
	Crashed []CrashedWorkers `msgpack:"c,omitempty"`
	// Reason is why the job has failed.
	Reason string `msgpack:"w,omitempty"`
	// Running lists the workers where runs may be alive.
	Running []RunLocation `msgpack:"r,omitempty"`
	// PackedRunning holds them instead if they are more than maxPlainLocations, see
	// packLocations. DecodeProgressRow unpacks it to Running.
	PackedRunning []byte `msgpack:"b,omitempty"`
	// Unproven lists those of Running whose task is suspect and whose worker hasn't
	// reported the run.
	Unproven []RunLocation `msgpack:"u,omitempty"`
	// pages describes the pages that it was decoded from, nil if it was in one row.
	pages *storedPages
}

// RunLocation says that a run of a task may be alive on a worker. It is encoded
// as an array, since locations make up most of a row; its fields can't change, as other
// releases couldn't decode it.
type RunLocation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Occurrence int `msgpack:"k"`
	Step       int `msgpack:"s"`
	Index      int `msgpack:"i"`
	// WorkerHash is the hash of the worker's ID.
	WorkerHash uint32 `msgpack:"w"`
}

// workerHash shortens a worker's ID for rows. After a collision, a later owner
// waits for both workers.
func workerHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// FailedRuns holds the numbers of a task's failed runs.
type FailedRuns struct {
	Occurrence int      `msgpack:"k"`
	Step       int      `msgpack:"s"`
	Index      int      `msgpack:"i"`
	Runs       []uint64 `msgpack:"r"`
}

// CrashedWorkers holds the workers that were lost under a task's runs.
type CrashedWorkers struct {
	Occurrence int `msgpack:"k"`
	Step       int `msgpack:"s"`
	Index      int `msgpack:"i"`
	// Early and Late hold the hashes of the workers' IDs: of those that had not
	// reported the run, and of the others.
	Early []uint32 `msgpack:"e,omitempty"`
	Late  []uint32 `msgpack:"l,omitempty"`
	// Restarted holds those of Early and Late of which another incarnation has answered.
	Restarted []uint32 `msgpack:"r,omitempty"`
	// ExhaustedMS is how long after the job's submission, in milliseconds, these were so
	// many that the task isn't started any more; 0 if they aren't.
	ExhaustedMS int64 `msgpack:"x,omitempty"`
}

// crashedWorkers returns the durable form of a task's crashes.
func (t *task) crashedWorkers() CrashedWorkers {
	id := t.id()
	row := CrashedWorkers{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
	for _, c := range t.crashes {
		if c.early {
			row.Early = append(row.Early, c.worker)
		} else {
			row.Late = append(row.Late, c.worker)
		}
		if c.restarted {
			row.Restarted = append(row.Restarted, c.worker)
		}
	}
	if t.exhausted() {
		row.ExhaustedMS = max(1, t.exhaustedAt.Sub(t.step.job.submittedAt).Milliseconds())
	}
	return row
}

// restoreCrashes applies the durable form of a task's crashes. The clocks of two hosts
// may differ, so the task is held no longer than maxExhaustedHold from now.
func (t *task) restoreCrashes(now time.Time, row CrashedWorkers) {
	for _, worker := range row.Early {
		t.crashes = append(t.crashes, crash{worker: worker, early: true, restarted: slices.Contains(row.Restarted, worker)})
	}
	for _, worker := range row.Late {
		t.crashes = append(t.crashes, crash{worker: worker, restarted: slices.Contains(row.Restarted, worker)})
	}
	t.exhaustedAt = now
	if at := t.step.job.submittedAt.Add(time.Duration(row.ExhaustedMS) * time.Millisecond); row.ExhaustedMS > 0 && at.Before(now) {
		t.exhaustedAt = at
	}
}

// RosterRow is one part of the roster, the list of workers where runs may be
// alive.
type RosterRow struct {
	Workers []RosterWorker `msgpack:"w"`
}

// RosterWorker is a worker on the roster.
type RosterWorker struct {
	runner.Worker
	// LeasedIn is the latest epoch whose owner may have given it a lease or a start, 0
	// if unknown.
	LeasedIn uint64 `msgpack:"e,omitempty"`
	// NewLife is set if it had started again under its ID shortly before.
	NewLife bool `msgpack:"n,omitempty"`
}

// progress returns the durable form of the job's progress.
func (j *job) progress() ProgressRow {
	row := ProgressRow{State: j.state, Reason: j.reason}
	if j.state.Final() {
		return row
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			row.Done = append(row.Done, st.doneBits())
		}
	}
	j.eachTask(func(t *task) {
		for _, r := range t.runs {
			id := t.id()
			l := RunLocation{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, WorkerHash: r.worker.hash}
			row.Running = append(row.Running, l)
			if r.unproven() {
				row.Unproven = append(row.Unproven, l)
			}
		}
		if len(t.failed) > 0 && !t.done {
			id := t.id()
			row.Failed = append(row.Failed, FailedRuns{id.Occurrence, id.Step, id.Index, t.failed})
		}
		if len(t.crashes) > 0 && !t.done {
			row.Crashed = append(row.Crashed, t.crashedWorkers())
		}
	})
	if len(row.Running) > maxPlainLocations {
		row.Running, row.PackedRunning = nil, packLocations(row.Running)
	}
	return row
}

// doneBits returns one bit per task, set if it is done, or nil if none is.
func (s *step) doneBits() []byte {
	if s.unfinishedTasks == len(s.tasks) {
		return nil
	}
	bits := make([]byte, (len(s.tasks)+7)/8)
	for i := range s.tasks {
		if s.tasks[i].done {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// restore applies durable progress.
func (j *job) restore(now time.Time, row ProgressRow) {
	i := 0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if i < len(row.Done) {
				st.restore(row.Done[i])
			}
			i++
		}
	}
	for _, f := range row.Failed {
		id := workload.TaskID{Occurrence: f.Occurrence, Step: f.Step, Index: f.Index}
		if t := j.task(id); t != nil {
			t.failed = f.Runs
		}
	}
	for _, c := range row.Crashed {
		id := workload.TaskID{Occurrence: c.Occurrence, Step: c.Step, Index: c.Index}
		if t := j.task(id); t != nil {
			t.restoreCrashes(now, c)
		}
	}
	for _, l := range row.Running {
		id := workload.TaskID{Occurrence: l.Occurrence, Step: l.Step, Index: l.Index}
		if t := j.task(id); t != nil {
			t.locations = append(t.locations, l.WorkerHash)
		}
	}
	for _, l := range row.Unproven {
		id := workload.TaskID{Occurrence: l.Occurrence, Step: l.Step, Index: l.Index}
		if t := j.task(id); t != nil {
			t.unprovenOn = append(t.unprovenOn, l.WorkerHash)
		}
	}
	if p := row.pages; p != nil {
		j.pages = progressPages{active: true, tasks: p.tasks, headerStored: true, stored: p.sums}
	}
	j.state, j.durable, j.reason = row.State, row.State, row.Reason
	if row.State.Final() {
		j.finishedAt = now
	}
	if row.State == workload.InProgress {
		j.eachTask(func(t *task) { t.started = true })
	}
}

// restore marks the tasks whose bit is set as done.
func (s *step) restore(bits []byte) {
	for i := range s.tasks {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			s.markDone(&s.tasks[i])
		}
	}
}

// RestoreJob adds a job accepted by an earlier owner. progress is nil if none
// was written.
func (s *State) RestoreJob(now time.Time, wallNow int64, row *JobRow, progress *ProgressRow) {
	q, ok := s.queues[row.Queue.Name]
	if !ok {
		q = row.Queue
	}
	if progress != nil && progress.State.Final() && len(s.jobs) >= maxWholeRestored {
		s.keepEnded(row.Job.ID, endedJob{state: progress.State, reason: progress.Reason, queue: q.Name, finishedAt: now})
		return
	}
	j := newJob(now, wallNow, &row.Job, q, s.expectedIn(q))
	j.rowStored, j.inherited = true, true
	if progress != nil {
		j.restore(now, *progress)
	}
	j.eachTask((*task).markRestored)
	s.addJob(j)
	if !j.state.Final() {
		s.open = append(s.open, j)
		s.indexWorkers(j)
	}
}

// markRestored records that the progress that the task has is durable.
func (t *task) markRestored() { t.doneStored, t.failedStored = t.done, len(t.failed) }

// RestorePages tells of pages in the store that hold no progress in force of a job, which an
// owner has written before it lost the domain or the job ended. They are deleted with the job,
// or at once if there is no such job.
func (s *State) RestorePages(id string, pages []int) {
	j := s.jobs[id]
	for _, page := range pages {
		switch {
		case j == nil:
			s.orphans = append(s.orphans, pageKey(id, page))
		case j.pages.stored == nil:
			j.pages.stored = map[int]uint64{page: 0}
		default:
			j.pages.stored[page] = 0
		}
	}
}

// indexWorkers indexes a restored job's tasks by the workers lost under them and by
// those where runs may be alive, and lists those under which too many were lost.
func (s *State) indexWorkers(j *job) {
	j.eachTask(func(t *task) {
		for _, c := range t.crashes {
			s.crashedUnder[c.worker] = append(s.crashedUnder[c.worker], t)
		}
		if len(t.crashes) > 0 {
			s.holdIfExhausted(t.exhaustedAt, t)
		}
		for _, worker := range t.locations {
			s.inheritedRuns[worker] = append(s.inheritedRuns[worker], t)
		}
	})
}

// DecodeJobRow decodes and validates a job's row.
func DecodeJobRow(value []byte) (*JobRow, error) {
	var row JobRow
	if err := msgpack.Unmarshal(value, &row); err != nil {
		return nil, errors.Wrap(err, "decode job row")
	}
	return &row, errors.Wrap(row.Job.Validate(), "validate job row")
}

// DecodeProgressRow decodes a job's progress.
func DecodeProgressRow(value []byte) (*ProgressRow, error) {
	var row ProgressRow
	if err := msgpack.Unmarshal(value, &row); err != nil {
		return nil, errors.Wrap(err, "decode progress row")
	}
	if len(row.PackedRunning) > 0 {
		packed, err := unpackLocations(row.PackedRunning)
		if err != nil {
			return nil, errors.Wrap(err, "decode progress row")
		}
		row.Running, row.PackedRunning = append(row.Running, packed...), nil
	}
	return &row, nil
}
