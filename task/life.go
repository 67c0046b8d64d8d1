package task

import "github.com/fireflygate/fireflygate/infra"

// growth of the memory reserved after the guard killed a run, in quarters.
const (
	growthNumerator   = 6
	growthDenominator = 4
)

// Start begins the run of the next epoch on worker, where it reserves what is
// given; zero stands for the declared size. Legal when pending.
func (r Record) Start(worker string, reserved infra.Resources) (Record, Transition) {
	if r.State != Pending {
		return r, Illegal
	}
	r.State = Starting
	r.Epoch++
	r.Worker = worker
	r.Reserved = reserved
	r.Reason = ""
	return r, Applied
}

// Confirmed notes that the worker runs the epoch. Legal when starting.
func (r Record) Confirmed(epoch uint64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	if r.State != Starting {
		return r, Unchanged
	}
	r.State = Running
	return r, Applied
}

// Finished notes that the run of the epoch completed its work. Legal when
// active; completion beats a cancellation.
func (r Record) Finished(epoch uint64, doneMS, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	r.DoneMS = max(r.DoneMS, doneMS)
	r.Checkpoint = ""
	return r.finish(Done, "", nowMS), Applied
}

// Failed notes that the run failed by itself. The job is queued again, or
// parked once it failed on maxFailures distinct workers.
func (r Record) Failed(epoch uint64, reason string, doneMS int64, maxFailures int, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	r = r.withFailure(r.Worker)
	if r.State != Stopping && len(r.Failures) >= maxFailures {
		return r.over(doneMS).finish(Parked, reason, nowMS), Applied
	}
	return r.again(doneMS, reason, nowMS), Applied
}

// Killed notes that the worker's guard killed the run. The job is queued again
// with a larger size, or parked after maxKills.
func (r Record) Killed(epoch uint64, reason string, doneMS int64, maxKills int, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	r.Kills++
	r.LearnedFloor.MemoryMB = r.Reservation().MemoryMB * growthNumerator / growthDenominator
	if r.State != Stopping && r.Kills >= maxKills {
		return r.over(doneMS).finish(Parked, reason, nowMS), Applied
	}
	return r.again(doneMS, reason, nowMS), Applied
}

// Stopped notes that the run was stopped by an order, with its progress in
// checkpoint if that is not empty. The job is queued again, from there.
func (r Record) Stopped(epoch uint64, checkpoint string, doneMS, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	if r.State != Stopping {
		r.Evictions++
	}
	if checkpoint != "" {
		r.Checkpoint = checkpoint
		r.DoneMS = max(r.DoneMS, doneMS)
	}
	return r.again(doneMS, "evicted", nowMS), Applied
}

// Refused notes that the worker refused the start: the epoch never ran.
func (r Record) Refused(epoch uint64, reason string, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	return r.again(0, reason, nowMS), Applied
}

// LeaseExpired notes that the run is surely over without a report. It resumes
// from the last checkpoint.
func (r Record) LeaseExpired(epoch uint64, doneMS, nowMS int64) (Record, Transition) {
	if t := r.check(epoch); t != Applied {
		return r, t
	}
	return r.again(doneMS, "lease lapsed", nowMS), Applied
}

// CancelRequested ends a job that has no run and marks one that may have.
func (r Record) CancelRequested(nowMS int64) (Record, Transition) {
	switch r.State {
	case Pending, Parked:
		return r.finish(Cancelled, "cancelled", nowMS), Applied
	case Starting, Running:
		r.State = Stopping
		return r, Applied
	case Done:
		return r, Illegal
	default:
		return r, Unchanged
	}
}

// ParkedWith parks a pending job that can never run. Legal when pending.
func (r Record) ParkedWith(reason string, nowMS int64) (Record, Transition) {
	if r.State != Pending {
		return r, Illegal
	}
	return r.finish(Parked, reason, nowMS), Applied
}

// check reports whether a word on the run of epoch is about the record's run.
func (r Record) check(epoch uint64) Transition {
	if epoch != r.Epoch {
		return StaleEpoch
	}
	if !r.State.Active() {
		return Illegal
	}
	return Applied
}

// again queues the job for its next epoch, or ends it if it was cancelled.
func (r Record) again(doneMS int64, reason string, nowMS int64) Record {
	r = r.over(doneMS)
	if r.State == Stopping {
		return r.finish(Cancelled, "cancelled", nowMS)
	}
	r.State = Pending
	r.Reason = reason
	return r
}
