package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

type job struct {
	// rec is the durable record, except that Running is not stored.
	rec task.Record
	// version is the version of the record's row.
	version uint64
	// committing is set while a commit of the record is in flight; there is
	// at most one.
	committing bool
	// sent is set if a start of the record's epoch may have been sent.
	sent bool
	// evict is set if the run is to be checkpointed and stopped.
	evict bool
	// cpuLimit is the requested CPU limit in percent and ackedCPULimit the one
	// acknowledged by the worker; 0 and 100 mean no limit.
	cpuLimit, ackedCPULimit int
	// deferredReport is the last report that arrived while a commit was in
	// flight, or whose commit was refused.
	deferredReport *infra.RunReport
	// cancelWaiters are called once the job is durably cancelled.
	cancelWaiters []func(cancelReply)
	// doneMS is the last reported progress.
	doneMS int64
	// queuedAt is when the job last became pending in this shard.
	queuedAt time.Time
}

// storedRecord is a record with the version of its row.
type storedRecord struct {
	record  task.Record
	version uint64
}

// needsCPULimitOrder reports whether the CPU limit must be sent to the worker.
func (j *job) needsCPULimitOrder() bool { return j.cpuLimit != 0 && j.cpuLimit != j.ackedCPULimit }
