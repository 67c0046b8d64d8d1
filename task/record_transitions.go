package task

import "github.com/fireflygate/fireflygate/infra"

// Factor by which the reserved memory grows after the worker's guard killed a
// run.
const (
	growthNumerator   = 6
	growthDenominator = 4
)

// Start begins the run of the next epoch on worker at its address with the given
// reservation; zero reserves the declared size. Legal when pending.
func (r Record) Start(worker, address string, reserved infra.Resources) (Record, Transition) {
	if r.State != Pending {
		return r, Illegal
	}
	r.State = Starting
	r.Epoch++
	r.Worker, r.Address = worker, address
	r.Reserved = reserved
	r.Reason = ""
	return r, Applied
}

// Confirmed records that the worker runs the epoch. Legal when starting.
func (r Record) Confirmed(epoch uint64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	if r.State != Starting {
		return r, Unchanged
	}
	r.State = Running
	return r, Applied
}

// Finished records that the run of the epoch completed its work. Legal when
// active; completion takes precedence over a cancellation.
func (r Record) Finished(epoch uint64, doneMS, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	r.DoneMS = max(r.DoneMS, doneMS)
	r.Checkpoint = ""
	return r.finish(Done, "", nowMS), Applied
}

// Failed records that the run failed by itself. The job is queued again, or
// parked once it has failed on maxFailures distinct workers.
func (r Record) Failed(epoch uint64, reason string, doneMS int64, maxFailures int, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	r = r.withFailure(r.Worker)
	if r.State != Stopping && len(r.Failures) >= maxFailures {
		return r.endRun(doneMS).finish(Parked, reason, nowMS), Applied
	}
	return r.requeue(doneMS, reason, nowMS), Applied
}

// Killed records that the worker's guard killed the run. The job is queued
// again with a larger memory floor, or parked after maxKills kills.
func (r Record) Killed(epoch uint64, reason string, doneMS int64, maxKills int, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	r.Kills++
	r.LearnedFloor.MemoryMB = r.Reservation().MemoryMB * growthNumerator / growthDenominator
	if r.State != Stopping && r.Kills >= maxKills {
		return r.endRun(doneMS).finish(Parked, reason, nowMS), Applied
	}
	return r.requeue(doneMS, reason, nowMS), Applied
}

// Stopped records that the run was stopped by an order, with its progress in
// checkpoint unless that is empty. The job is queued again and resumes from
// its latest checkpoint.
func (r Record) Stopped(epoch uint64, checkpoint string, doneMS, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	if r.State != Stopping {
		r.Evictions++
	}
	if checkpoint != "" {
		r.Checkpoint = checkpoint
		r.DoneMS = max(r.DoneMS, doneMS)
	}
	return r.requeue(doneMS, "evicted", nowMS), Applied
}

// Refused records that the worker refused the start: the epoch never ran.
func (r Record) Refused(epoch uint64, reason string, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	return r.requeue(0, reason, nowMS), Applied
}

// LeaseExpired records that the run must have ended, without a report of how.
// The job resumes from its latest checkpoint.
func (r Record) LeaseExpired(epoch uint64, doneMS, nowMS int64) (Record, Transition) {
	if t := r.checkRun(epoch); t != Applied {
		return r, t
	}
	return r.requeue(doneMS, "lease lapsed", nowMS), Applied
}

// CancelRequested cancels a job that has no run, and makes one that may have a
// run Stopping.
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

// ParkedWith parks a job that can never run, for the given reason. Legal when
// pending.
func (r Record) ParkedWith(reason string, nowMS int64) (Record, Transition) {
	if r.State != Pending {
		return r, Illegal
	}
	return r.finish(Parked, reason, nowMS), Applied
}

// checkRun returns Applied if a report on the run of epoch concerns the
// record's active run.
func (r Record) checkRun(epoch uint64) Transition {
	if epoch != r.Epoch {
		return StaleEpoch
	}
	if !r.State.Active() {
		return Illegal
	}
	return Applied
}

// requeue ends the run and makes the job pending, or cancelled if it was
// stopping.
func (r Record) requeue(doneMS int64, reason string, nowMS int64) Record {
	r = r.endRun(doneMS)
	if r.State == Stopping {
		return r.finish(Cancelled, "cancelled", nowMS)
	}
	r.State = Pending
	r.Reason = reason
	return r
}
