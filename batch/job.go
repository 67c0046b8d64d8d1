package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// job is one job of a shard.
type job struct {
	// rec is the durable record, but for Running, which is not written.
	rec task.Record
	// version is of the record's row, a condition of the next change.
	version uint64
	// committing is set while a change of the record is with the journal;
	// there is at most one.
	committing bool
	// sent is set when a start of the record's epoch may have been sent.
	sent bool
	// evict asks for a checkpoint and stop.
	evict bool
	// percent is the throttle wanted and applied the one acknowledged; 0 and
	// 100 are none.
	percent, applied int
	// late is the last report that came while a commit was under way, or whose
	// commit was refused.
	late *infra.RunReport
	// cancels wait for the job to be cancelled durably.
	cancels []func(cancelReply)
	// doneMS is the progress last reported.
	doneMS int64
	// queued is when the job last became pending here.
	queued time.Time
}

// stored is a record as the table holds it.
type stored struct {
	record  task.Record
	version uint64
}

// throttling reports whether the worker has to be told of a throttle.
func (j *job) throttling() bool { return j.percent != 0 && j.percent != j.applied }
