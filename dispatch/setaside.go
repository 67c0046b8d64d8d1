package dispatch

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// setAsideRetry is the time after which a row is written again that the table service has
// rejected for good. What it would hold may have changed meanwhile.
const setAsideRetry = 10 * time.Second

// setAside tells of a job whose progress the table service has rejected for good. Its change
// isn't part of later batches, so that these are applied; the ends of its runs are recorded in
// a row of their own.
type setAside struct {
	// until is when its progress is written again, zero if it isn't set aside. in is the state
	// that was rejected.
	until time.Time
	in    workload.State
	// endsWritten is the number of ends in the row of ends, endsRejected is set if that was
	// rejected as well.
	endsWritten  int
	endsRejected bool
}

// waits reports whether the job's progress isn't to be written yet. A new final state, which
// takes few bytes, is written at once.
func (a *setAside) waits(now time.Time, state workload.State) bool {
	return now.Before(a.until) && (state == a.in || !state.Final())
}

// flushable reports whether a change of the job is part of the next batches.
func (j *job) flushable() bool {
	return j.aside.until.IsZero() || (j.state.Final() && j.state != j.aside.in)
}

// SetAside handles an indivisible batch that the table service has rejected for good, so that
// the other changes become durable without it. It returns the ID of a new job that is dropped
// since its row is rejected, empty for none: it was never accepted.
func (s *State) SetAside(now time.Time, b *Batch) (withdrawn string) {
	for i := range b.units {
		switch u := &b.units[i]; {
		case u.roster != nil:
			s.rosterAside[u.roster.part] = now.Add(setAsideRetry)
		case u.estimates:
			s.estimatesChanged, s.estimatesFlushedAt = true, now.Add(setAsideRetry)
		case u.endsOf != "":
			s.rejectEnds(u.endsOf)
		case u.job != nil:
			withdrawn = s.setJobAside(now, u.job)
		}
	}
	return withdrawn
}

// UnclaimRosterEpochs records that the owner's row doesn't say that the roster tells the epochs,
// since a part of the batch that said so was rejected. A later batch says so again.
func (s *State) UnclaimRosterEpochs() { s.rosterEpochs = false }

// rejectEnds handles that the row with the ends of a job is rejected.
func (s *State) rejectEnds(id string) {
	if j := s.jobs[id]; j != nil {
		j.aside.endsRejected = true
	}
}

// setJobAside handles a job whose rows are rejected. It drops a new one and returns its ID.
func (s *State) setJobAside(now time.Time, f *batchJob) (withdrawn string) {
	j := f.job
	if !j.rowStored {
		s.removeJob(j.spec.ID)
		s.open = slices.DeleteFunc(s.open, func(other *job) bool { return other == j })
		s.dirty = slices.DeleteFunc(s.dirty, func(other *job) bool { return other == j })
		return j.spec.ID
	}
	j.hasEndsRow = j.hasEndsRow || f.deletesEnds
	j.pages.rejected(s.limits(), j.spec.TotalTasks())
	j.aside = setAside{until: now.Add(setAsideRetry), in: f.state}
	s.markDirty(j)
	return ""
}

// flushEndsOf writes the ends of a job that is set aside, as far as they aren't durable with its
// progress: once they are acknowledged, nothing else tells a later owner of them. It returns
// false if there is no room for them.
func (s *State) flushEndsOf(b *Batch, j *job) (bool, error) {
	ends := j.undurableEnds(s.maxEnds())
	if len(ends) == j.aside.endsWritten || j.aside.endsRejected {
		return true, nil
	}
	value, err := msgpack.Marshal(EndsRow{ends})
	if err != nil {
		return false, errors.Wrap(err, "encode ends of a job that is set aside")
	}
	if !b.add(batchUnit{endsOf: j.spec.ID}, infra.Write{Key: EndsPrefix + j.spec.ID, Value: value}) {
		return false, nil
	}
	j.aside.endsWritten, j.hasEndsRow = len(ends), true
	return true, nil
}

// undurableEnds returns the ends of the job's tasks that aren't durable with its progress, at
// most a given number.
func (j *job) undurableEnds(most int) []EndRow {
	var ends []EndRow
	add := func(t *task, run uint64, failed bool) {
		if len(ends) < most {
			ends = append(ends, EndRow{Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index, Run: run, Failed: failed})
		}
	}
	j.eachTask(func(t *task) {
		if t.done && !t.doneStored {
			add(t, 0, false)
		}
		for _, run := range t.failed[min(t.failedStored, len(t.failed)):] {
			add(t, run, true)
		}
	})
	return ends
}
