// Package batch runs the worker shards that this entry host owns: it replays
// their records, reconciles them with the workers, places jobs, keeps task
// leases and takes in reports. A start is sent only once its record is durable,
// and every commit carries the version of the shard's row, so that a late owner
// writes nothing.
//
// Shard holds the state of one shard; its methods take the time and return
// through its outbox what is to be committed and whom to exchange with. Manager
// runs all shards on one control goroutine.
package batch
