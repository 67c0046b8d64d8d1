// Package batch runs the worker shards that this entry host owns: it replays
// their records, reconciles them with the workers, places jobs, renews task
// leases and handles reports. A start is sent only after its record is durable.
// Every commit is conditional on the version of the shard's row, so that a
// former owner can't write.
//
// Shard is the state machine of one shard. Its methods take the current time
// and queue commits and exchanges instead of performing them. Manager runs all
// shards on one control goroutine.
package batch
