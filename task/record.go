package task

import (
	"slices"

	"github.com/fireflygate/fireflygate/infra"
)

// Record is the stored state of a job. Transition methods return a new record
// and don't modify the receiver.
type Record struct {
	Spec  Spec  `msgpack:"s"`
	State State `msgpack:"st"`
	// Epoch is the number of the latest run; 0 before the first start. Each
	// start increments it, so an epoch has at most one run.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Worker is the worker of the run of Epoch while the state is active.
	Worker string `msgpack:"w,omitempty"`
	// Address is the address of Worker that the start of that run is sent to, empty in
	// records of earlier releases. At another address another machine has its name.
	Address string `msgpack:"wa,omitempty"`
	// Reserved is the reservation of that run on Worker while the state is
	// active. It may differ from the declared size.
	Reserved infra.Resources `msgpack:"rv,omitempty"`
	// Checkpoint is the checkpoint that the current run, or else the next
	// start, resumes from.
	Checkpoint string `msgpack:"cp,omitempty"`
	// DoneMS is the work saved in Checkpoint, in milliseconds at full speed,
	// or all the work once done.
	DoneMS int64 `msgpack:"d,omitempty"`
	// Failures are the distinct workers that the job failed on.
	Failures []string `msgpack:"f,omitempty"`
	// Kills is the number of runs that a worker's guard killed.
	Kills int `msgpack:"k,omitempty"`
	// Evictions is the number of runs stopped to free capacity.
	Evictions int `msgpack:"ev,omitempty"`
	// LostMS is the work done but not saved, in milliseconds at full speed.
	LostMS int64 `msgpack:"l,omitempty"`
	// LearnedFloor is the minimum size to reserve after a run was killed for
	// exceeding its reservation.
	LearnedFloor infra.Resources `msgpack:"g,omitempty"`
	// Reason explains the last failure or the terminal state.
	Reason string `msgpack:"r,omitempty"`
	// FinishedUnixMS is when the job became terminal, in Unix milliseconds.
	FinishedUnixMS int64 `msgpack:"t,omitempty"`
}

// New returns the record of a newly submitted job.
func New(s Spec) Record { return Record{Spec: s} }

// RunID returns the ID of the run of the record's epoch.
func (r Record) RunID() infra.RunID { return infra.RunID{Job: r.Spec.ID, Epoch: r.Epoch} }

// SpecWithFloor returns the spec with LearnedFloor as its Floor.
func (r Record) SpecWithFloor() Spec {
	s := r.Spec
	s.Floor = r.LearnedFloor
	return s
}

// Reservation returns the resources that the run of the record's epoch
// reserves: Reserved, or the declared size raised to LearnedFloor.
func (r Record) Reservation() infra.Resources {
	if r.Reserved != (infra.Resources{}) {
		return r.Reserved
	}
	size := r.Spec.Resources
	size.MemoryMB = max(size.MemoryMB, r.LearnedFloor.MemoryMB)
	return size
}

// endRun clears the run and adds the work done since the checkpoint, up to
// doneMS, to LostMS.
func (r Record) endRun(doneMS int64) Record {
	r.LostMS += max(0, doneMS-r.DoneMS)
	r.Worker, r.Address = "", ""
	r.Reserved = infra.Resources{}
	return r
}

// finish makes the record terminal.
func (r Record) finish(s State, reason string, nowMS int64) Record {
	r.State = s
	r.Worker, r.Address = "", ""
	r.Reserved = infra.Resources{}
	r.Reason = reason
	r.FinishedUnixMS = nowMS
	return r
}

// withFailure adds the worker to Failures unless it is there.
func (r Record) withFailure(worker string) Record {
	if slices.Contains(r.Failures, worker) {
		return r
	}
	r.Failures = append(slices.Clip(r.Failures), worker)
	return r
}
