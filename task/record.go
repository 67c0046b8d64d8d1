package task

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Record is what the table keeps of a job. The methods that change it return
// a new record and leave the receiver as it is.
type Record struct {
	Spec  Spec  `msgpack:"s"`
	State State `msgpack:"st"`
	// Epoch numbers the runs; 0 before the first start. It rises by one with
	// each start and an epoch has at most one run.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Worker is the host of the run of Epoch, while the state is active.
	Worker string `msgpack:"w,omitempty"`
	// Reserved is what the run of Epoch reserves on Worker, while the state is
	// active. It may differ from what the job declares.
	Reserved infra.Resources `msgpack:"rv,omitempty"`
	// Checkpoint names the progress that the next start, or the current run,
	// resumes from.
	Checkpoint string `msgpack:"cp,omitempty"`
	// DoneMS is the work that Checkpoint holds, in milliseconds at full
	// speed, or all the work once done.
	DoneMS int64 `msgpack:"d,omitempty"`
	// Failures are the distinct workers that the job failed on.
	Failures []string `msgpack:"f,omitempty"`
	// Kills is how often a worker's guard killed it.
	Kills int `msgpack:"k,omitempty"`
	// Evictions is how often it was stopped to make room.
	Evictions int `msgpack:"ev,omitempty"`
	// LostMS is the work done and lost, in milliseconds at full speed.
	LostMS int64 `msgpack:"l,omitempty"`
	// LearnedFloor is the size it reserves at the least once one proved small.
	LearnedFloor infra.Resources `msgpack:"g,omitempty"`
	// Reason explains the last failure or the terminal state.
	Reason string `msgpack:"r,omitempty"`
	// FinishedUnixMS is when it became terminal, in Unix milliseconds.
	FinishedUnixMS int64 `msgpack:"t,omitempty"`
}

// New returns the record of a job that was just submitted.
func New(s Spec) Record { return Record{Spec: s} }

// RunID returns the run of the record's epoch.
func (r Record) RunID() infra.RunID { return infra.RunID{Job: r.Spec.ID, Epoch: r.Epoch} }

// SpecWithFloor returns the spec with what was learned of the job's own size as its
// floor.
func (r Record) SpecWithFloor() Spec {
	s := r.Spec
	s.Floor = r.LearnedFloor
	return s
}

// Reservation returns what the run of the record's epoch reserves.
func (r Record) Reservation() infra.Resources {
	if r.Reserved != (infra.Resources{}) {
		return r.Reserved
	}
	size := r.Spec.Resources
	size.MemoryMB = max(size.MemoryMB, r.LearnedFloor.MemoryMB)
	return size
}

// over ends the record's run, counting what it did beyond the checkpoint, up
// to doneMS, as lost.
func (r Record) over(doneMS int64) Record {
	r.LostMS += max(0, doneMS-r.DoneMS)
	r.Worker = ""
	r.Reserved = infra.Resources{}
	return r
}

// finish makes the record terminal.
func (r Record) finish(s State, reason string, nowMS int64) Record {
	r.State = s
	r.Worker = ""
	r.Reserved = infra.Resources{}
	r.Reason = reason
	r.FinishedUnixMS = nowMS
	return r
}

// withFailure adds the worker to the failures, once.
func (r Record) withFailure(worker string) Record {
	if slices.Contains(r.Failures, worker) {
		return r
	}
	r.Failures = append(slices.Clip(r.Failures), worker)
	return r
}
