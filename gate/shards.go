package gate

import "strings"

// Prefixes of shard names by kind of member.
const (
	endpointShards = "ep/"
	workerShards   = "wk/"
)

func isWorkerShard(shard string) bool { return strings.HasPrefix(shard, workerShards) }
