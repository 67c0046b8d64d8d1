package batch

import (
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/task"
)

// Prefixes of the table's keys.
const (
	shardPrefix = "shard/"
	jobPrefix   = "job/"
	refPrefix   = "jobref/"
	keyPrefix   = "jobkey/"
	quotaPrefix = "quota/"
	// workerShards is the prefix of the names of worker shards.
	workerShards = "wk/"
)

// idempotencyRow is the value of a jobkey row.
type idempotencyRow struct {
	ID string `msgpack:"i"`
	// Hash is the hash of the spec. It distinguishes a repeated submission
	// from another job with the same key.
	Hash uint64 `msgpack:"h"`
}

func shardKey(shard string) string { return shardPrefix + shard }

func jobKey(shard, id string) string { return jobPrefix + shard + "/" + url.PathEscape(id) }

// refKey returns the key of the row that names a job's shard.
func refKey(id string) string { return refPrefix + url.PathEscape(id) }

// idempotencyKey returns the key of the row for a team's idempotency key.
func idempotencyKey(team, key string) string {
	return keyPrefix + url.PathEscape(team) + "/" + url.PathEscape(key)
}

// quotaKey returns the key of the division of a team's quota.
func quotaKey(team string) string { return quotaPrefix + url.PathEscape(team) }

// quotaTeam returns the team of a key made by quotaKey.
func quotaTeam(key string) (team string, ok bool) {
	team, err := url.PathUnescape(strings.TrimPrefix(key, quotaPrefix))
	return team, err == nil
}

// zoneOf returns the zone of a worker shard "wk/<zone>/<n>".
func zoneOf(shard string) string {
	rest := strings.TrimPrefix(shard, workerShards)
	zone, _, _ := strings.Cut(rest, "/")
	return zone
}

// specHash returns a hash of the spec without the fields that differ between
// attempts of the same submission.
func specHash(s task.Spec) uint64 {
	s.ID = ""
	s.SubmittedUnixMS = 0
	return xxhash.Sum64(encode(s))
}

// encode returns v as msgpack. It panics if v can't be encoded.
func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "batch: broken invariant, value does not encode"))
	}
	return data
}

func decodeRecord(data []byte) (task.Record, error) {
	var r task.Record
	err := msgpack.Unmarshal(data, &r)
	return r, errors.Wrap(err, "batch: decode job record")
}
