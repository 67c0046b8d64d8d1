package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// started is set once a run of it has been ordered or reported.
	started bool
	// runs holds the runs that may be alive; more than one only for
	// speculation.
	runs []*run
	// failed holds the numbers of the runs that failed.
	failed []uint64
	// doneStored is set once it is durably done, and failedStored is the number of its
	// failed runs that are durable.
	doneStored   bool
	failedStored int
	// failedOn holds the workers of those runs, as far as this owner knows.
	failedOn []string
	// crashes holds the workers lost under runs of the task; of a gang, the first task
	// holds them for all.
	crashes []crash
	// exhaustedAt is when the crashes were so many that it isn't started any more.
	exhaustedAt time.Time
	// unprovenOn holds the hashes of the workers that, according to the store, had not
	// reported a run of it when it was suspect already.
	unprovenOn []uint32
	// separateSince is when it first waited for a worker without other suspects.
	separateSince time.Time
	// inheritanceResolved is set once no unreported run of an earlier owner can
	// be alive.
	inheritanceResolved bool
	// locations holds the hashes of the workers where runs of it may be alive
	// according to the store or to a batch in flight.
	locations []uint32
	// lost is set once a run of it counts as over because its worker was lost: it may
	// have ended, and its worker may have told that to a successor.
	lost bool
	// ranBefore is the last run that counts as over.
	ranBefore ranBefore
	// endedRuns holds the numbers of the runs last known to have ended, at most
	// maxEndedRuns. Of a speculative task a run with a lower number may be alive.
	endedRuns []uint64
	// perPercent is the time for one percent of it, in milliseconds, as last measured;
	// 0 if it wasn't.
	perPercent float32
	// leastPerPercent is the least such time of any of its runs.
	leastPerPercent time.Duration
	// checkpoint is the newest checkpoint, empty if none.
	checkpoint string
}

// taskByID returns a task, nil if it isn't known.
func (s *State) taskByID(id workload.TaskID) *task {
	if j := s.jobs[id.Job]; j != nil {
		return j.task(id)
	}
	return nil
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{
		Job: t.step.job.spec.ID, Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index,
	}
}

// maxEndedRuns bounds the ended runs kept of a task. A report that still lists one as alive
// was made before its end and arrives within seconds.
const maxEndedRuns = 16

// recordEnded records that a run is known to have ended.
func (t *task) recordEnded(number uint64) {
	if t.hasEnded(number) {
		return
	}
	if len(t.endedRuns) == maxEndedRuns {
		t.endedRuns = slices.Delete(t.endedRuns, 0, 1)
	}
	t.endedRuns = append(t.endedRuns, number)
}

// hasEnded reports whether a run is known to have ended.
func (t *task) hasEnded(number uint64) bool { return slices.Contains(t.endedRuns, number) }

// attach adds a run that may be alive.
func (t *task) attach(r *run) {
	if len(t.runs) == 0 && !t.done {
		t.step.idle--
	}
	t.started, t.inheritanceResolved = true, true
	t.runs = append(t.runs, r)
}

// detach removes an ended run.
func (t *task) detach(r *run) {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	if len(t.runs) == 0 && !t.done {
		t.step.idle++
	}
}

// avoids reports whether a run of the task failed on the worker.
func (t *task) avoids(worker string) bool { return slices.Contains(t.failedOn, worker) }
