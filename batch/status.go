package batch

import "github.com/fireflygate/fireflygate/task"

// Status is what is told of a job.
type Status struct {
	ID    string     `msgpack:"i"`
	Shard string     `msgpack:"s"`
	State task.State `msgpack:"st"`
	// Record is the job's record; its State may lag behind State, since the
	// confirmation of a start is not written.
	Record task.Record `msgpack:"r"`
	// Explanation says why it is pending or where it runs, for people.
	Explanation string `msgpack:"w,omitempty"`
	// Existing is set when a submission named a job that was already known.
	Existing bool `msgpack:"x,omitempty"`
}

// Counts are totals over the shards that this host owns.
type Counts struct {
	Shards  int
	Ready   int
	Pending int
	Running int
	Workers int
	Starts  uint64
}
