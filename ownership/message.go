package ownership

// ShardEpoch is a shard that the sender claims to own, with the epoch of that
// ownership.
type ShardEpoch struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
}

// PromiseRequest asks a named successor not to claim these shards for the
// length of a session, from the arrival of the request.
type PromiseRequest struct {
	Owner  Holder       `msgpack:"o"`
	Shards []ShardEpoch `msgpack:"s"`
}

// PromiseReply is the reply to a PromiseRequest.
type PromiseReply struct {
	// Promised is set if the promise holds for all shards not in Refused.
	Promised bool `msgpack:"p"`
	// Refused lists the shards for which the promise does not hold, with the
	// newest known epoch. If that is not higher than the requester's epoch, a
	// claim is in flight.
	Refused []ShardEpoch `msgpack:"r"`
}

// StoppedRequest asks whether a process has permanently stopped using a shard
// under all epochs lower than Epoch. It also causes that process to stop.
type StoppedRequest struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
	// Previous is the process in question. A later process of the same host may
	// reply for it.
	Previous Holder `msgpack:"p"`
}

// StoppedReply is the reply to a StoppedRequest.
type StoppedReply struct {
	// Stopped is set if nothing is or will be in flight under an epoch lower
	// than the requested one.
	Stopped bool `msgpack:"d"`
}
