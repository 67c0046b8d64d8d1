package ownership

// ShardEpoch is a shard that a host believes to own, and since which epoch.
type ShardEpoch struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
}

// PromiseRequest asks a named successor not to take these shards over for the
// length of a session from the request's arrival.
type PromiseRequest struct {
	Owner  Holder       `msgpack:"o"`
	Shards []ShardEpoch `msgpack:"s"`
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	// Promised is set when the promise holds for every shard not refused.
	Promised bool `msgpack:"p"`
	// Refused are the shards for which it does not hold, with the epoch of
	// the newest owner known; an epoch no higher than the asker's means
	// that a claim is under way.
	Refused []ShardEpoch `msgpack:"r"`
}

// StoppedRequest asks whether a process has stopped using a shard for good
// under every epoch below Epoch. It also tells that process to stop.
type StoppedRequest struct {
	Shard string `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
	// Previous is the process asked about; a later process of the same host
	// may answer for it.
	Previous Holder `msgpack:"p"`
}

// StoppedReply answers a StoppedRequest.
type StoppedReply struct {
	// Stopped is set when nothing is in flight under an epoch below the one
	// asked about, and nothing will be.
	Stopped bool `msgpack:"d"`
}
