package dispatch

import (
	"encoding/base64"
	"slices"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
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
	// Unlisted counts the workers for which there is no room on the parts of the roster that
	// it writes.
	Unlisted int
	// units are the parts of Writes, in their order, that are true without each other.
	units []batchUnit
	// left is what the limits of the table service leave to further writes.
	left writeBudget
	// ends holds the ends that are durable once the batch is.
	ends []durableEnds
}

// batchUnit is a part of a batch that can be committed by itself.
type batchUnit struct {
	// writes is the number of its writes.
	writes int
	// job is the job that it writes, nil for none.
	job *batchJob
	// roster is the part of the roster that it writes, nil for none.
	roster *batchRoster
	// estimates is set if it writes the interference estimates.
	estimates bool
	// endsOf is the job whose recorded ends it writes, empty for none.
	endsOf string
}

// batchRoster is a part of the roster as a batch writes it.
type batchRoster struct {
	part int
	// workers holds those that it lists, removed counts those removed before.
	workers []rosterEntry
	removed int
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
	// stateWritten is set if it writes the state.
	stateWritten bool
	// complete is set if all changes of the job are durable with it.
	complete bool
	// deletesEnds is set if it deletes the job's row of ends.
	deletesEnds bool
	// tasks holds the tasks of which run locations are or were durable, with the hashes of
	// the workers of their runs.
	tasks []taskLocations
	// done holds the tasks that are durably done with it, failures the numbers of failed runs
	// that are durable with it.
	done     []*task
	failures []taskFailures
	// pages holds the checksums of the pages that it writes.
	pages map[int]uint64
}

// taskLocations is a task with the hashes of the workers of its runs.
type taskLocations struct {
	task    *task
	workers []uint32
}

// taskFailures is a task with the number of its failed runs.
type taskFailures struct {
	task  *task
	count int
}

// durableEnds says up to which number the ends of a life of a worker are durable.
type durableEnds struct {
	life   *life
	number uint64
}

// writeBudget is the room for writes in a transaction.
type writeBudget struct {
	writes, bytes int
}

// ownerRowBytes bounds what the condition and the write of the owner's row take in a
// transaction besides the row's value.
const ownerRowBytes = 1 << 10

// newWriteBudget returns the room for at most limit writes beside the owner's row.
func newWriteBudget(l infra.TableLimits, limit int) writeBudget {
	bytes := l.TransactionBytes - ownerRowBytes - base64.StdEncoding.EncodedLen(l.RowBytes)
	return writeBudget{writes: min(limit, l.Entries-2), bytes: bytes}
}

// take reserves room for a write. It returns false if there is none.
func (l *writeBudget) take(w *infra.Write) bool {
	n := w.SentBytes()
	if l.writes == 0 || l.bytes < n {
		return false
	}
	l.writes--
	l.bytes -= n
	return true
}

// add appends a unit with its writes, unless there is no room for them.
func (b *Batch) add(u batchUnit, writes ...infra.Write) bool {
	left := b.left
	for i := range writes {
		if !left.take(&writes[i]) {
			return false
		}
	}
	u.writes = len(writes)
	b.left, b.Writes, b.units = left, append(b.Writes, writes...), append(b.units, u)
	return true
}

// RemovedWorkers returns the number of workers that the batch removes from the roster.
func (b *Batch) RemovedWorkers() int {
	removed := 0
	for i := range b.units {
		if r := b.units[i].roster; r != nil {
			removed += r.removed
		}
	}
	return removed
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 && len(b.ends) == 0 && !b.RosterEpochs }

// Divisible reports whether the batch consists of parts that are true without each other.
func (b *Batch) Divisible() bool { return len(b.units) > 1 }

// Split divides a divisible batch. What holds once all of it is durable holds with the second
// part, if the first is applied before.
func (b *Batch) Split() (first, second *Batch) {
	middle, writes := len(b.units)/2, 0
	for i := range b.units[:middle] {
		writes += b.units[i].writes
	}
	first, second = new(Batch), new(Batch)
	*first, *second = *b, *b
	first.units, second.units = b.units[:middle:middle], b.units[middle:]
	first.Writes, second.Writes = b.Writes[:writes:writes], b.Writes[writes:]
	first.ends, first.RosterEpochs, first.Unlisted = nil, false, 0
	return first, second
}

// Withhold makes the batch acknowledge no ends, and not say that the roster tells the epochs:
// another part of the changes isn't durable.
func (b *Batch) Withhold() { b.ends, b.RosterEpochs = nil, false }

// Keys returns the keys of the rows that the batch writes, and the size of the largest.
func (b *Batch) Keys() (keys []string, largest int) {
	for i := range b.Writes {
		keys, largest = append(keys, b.Writes[i].Key), max(largest, len(b.Writes[i].Value))
	}
	return keys, largest
}

// jobs returns the jobs that the batch writes.
func (b *Batch) jobs() []*batchJob {
	var jobs []*batchJob
	for i := range b.units {
		if j := b.units[i].job; j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// hashes returns the hashes of the workers of the task's runs.
func (t *task) hashes() []uint32 {
	if len(t.runs) == 0 {
		return nil
	}
	hashes := make([]uint32, 0, len(t.runs))
	for _, r := range t.runs {
		hashes = append(hashes, r.worker.hash)
	}
	return hashes
}

// collectTask records that the task's progress is durable once the batch is. Its run
// locations count as durable from now on: a later owner may read them before this one learns
// that the commit succeeded.
func (f *batchJob) collectTask(t *task) {
	workers := t.hashes()
	if len(workers) > 0 || len(t.locations) > 0 {
		f.tasks = append(f.tasks, taskLocations{t, workers})
	}
	if t.done && !t.doneStored {
		f.done = append(f.done, t)
	}
	if !t.done && len(t.failed) != t.failedStored {
		f.failures = append(f.failures, taskFailures{t, len(t.failed)})
	}
	for _, hash := range workers {
		if !slices.Contains(t.locations, hash) {
			t.locations = append(t.locations, hash)
		}
	}
}

// markStored records that the tasks' progress is durable.
func (f *batchJob) markStored() {
	for _, l := range f.tasks {
		l.task.locations = l.workers
		l.task.markStored(l.workers)
	}
	for _, t := range f.done {
		t.doneStored = true
	}
	for _, x := range f.failures {
		x.task.failedStored = x.count
	}
}
