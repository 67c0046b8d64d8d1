package batch

import "github.com/fireflygate/fireflygate/task"

// Status is the status of a job as returned to callers.
type Status struct {
	ID    string     `msgpack:"i"`
	Shard string     `msgpack:"s"`
	State task.State `msgpack:"st"`
	// Record is the job's record. Its State may be older than State, because
	// the confirmation of a start is not stored.
	Record task.Record `msgpack:"r"`
	// Explanation is a human-readable reason why the job is pending or where
	// it runs.
	Explanation string `msgpack:"w,omitempty"`
	// Existing is set if a submission matched an existing job.
	Existing bool `msgpack:"x,omitempty"`
}

// Counts holds totals over the shards that this host owns.
type Counts struct {
	Shards  int
	Ready   int
	Pending int
	Running int
	Workers int
	Starts  uint64
}
