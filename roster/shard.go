package roster

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// The prefixes of shard names.
const (
	endpointPrefix = "ep/"
	workerPrefix   = "wk/"
)

// IsEndpointShard reports whether a shard holds endpoints of a service rather
// than workers.
func IsEndpointShard(shard string) bool { return strings.HasPrefix(shard, endpointPrefix) }

// EndpointShardOf returns the shard of an endpoint: ep/<service>/<n>.
func EndpointShardOf(m infra.Member, lease settings.Lease) string {
	n := bucket(m.Service, m.Name, lease.EndpointShards)
	return endpointPrefix + m.Service + "/" + strconv.FormatUint(n, 10)
}

// WorkerShardOf returns the shard of a worker: wk/<zone>/<n>. Workers of one
// rack share a shard; a worker without a rack counts as a rack of its own.
func WorkerShardOf(m infra.Member, lease settings.Lease) string {
	rack := m.Rack
	if rack == "" {
		rack = m.Name
	}
	n := bucket(m.Zone, rack, lease.WorkerShardsPerZone)
	return workerPrefix + m.Zone + "/" + strconv.FormatUint(n, 10)
}

// bucket hashes a pair of names into one of n buckets.
func bucket(group, name string, n int) uint64 {
	if n < 1 {
		n = 1
	}
	return hashPair(group, name) % uint64(n)
}

// hashPair hashes two names such that ("ab", "c") and ("a", "bc") differ.
func hashPair(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}
