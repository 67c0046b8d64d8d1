package ownership

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Key prefixes in the table.
const (
	SessionPrefix = "session/"
	ShardPrefix   = "shard/"
)

// SessionKey returns the key of an entry host's session row.
func SessionKey(host string) string { return SessionPrefix + host }

// ShardKey returns the key of a shard's row.
func ShardKey(shard string) string { return ShardPrefix + shard }

// SessionRow is the value of session/<host>.
type SessionRow struct {
	// Incarnation identifies the process that renews the session.
	Incarnation string `msgpack:"i"`
	// Counter increases with each renewal.
	Counter uint64 `msgpack:"c"`
	// Stopping is set once the process hands over its shards, so that other
	// hosts don't give it any.
	Stopping bool `msgpack:"t"`
	Bounds   `msgpack:",inline"`
}

// Bounds are the durations of a process that other hosts rely on. A host with
// different settings uses the larger of these and its own.
type Bounds struct {
	// Session is how long the session and promises to the process last.
	Session time.Duration `msgpack:"l,omitempty"`
	// MaxRun is the maximum time that an endpoint works on one of its requests.
	MaxRun time.Duration `msgpack:"m,omitempty"`
}

// Holder identifies one process of an entry host.
type Holder struct {
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	// Revision is the revision of a membership list that contained the host;
	// only a newer list can drop it.
	Revision uint64 `msgpack:"r"`
	Bounds   `msgpack:",inline"`
}

// is reports whether h and o identify the same process.
func (h Holder) is(o Holder) bool {
	return h.Host == o.Host && h.Incarnation == o.Incarnation
}

// process returns h with only its identity, for use as a map key.
func (h Holder) process() Holder {
	return Holder{Host: h.Host, Incarnation: h.Incarnation}
}

// ShardRow is the value of shard/<shard>.
type ShardRow struct {
	// Owner is the process that owns the shard. Its Host is empty if the shard
	// was released to nobody.
	Owner Holder `msgpack:"o"`
	// Epoch increases by one with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// Seized is set if the owner took the shard over without a release, so that
	// requests of an earlier owner may still be in flight.
	Seized bool `msgpack:"z"`
	// MaxRun is the maximum time that these requests may run.
	MaxRun time.Duration `msgpack:"m,omitempty"`
	// Unconfirmed is the previous owner until it is known to have stopped; nil
	// otherwise.
	Unconfirmed *Holder `msgpack:"u"`
	// Successors may take over the shard in this order while the membership
	// list still contains the owner.
	Successors []string `msgpack:"s"`
}

// DecodeShardRow decodes the value of a shard's row.
func DecodeShardRow(value []byte) (ShardRow, error) {
	var r ShardRow
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode shard row")
}

// DecodeSessionRow decodes the value of a session's row.
func DecodeSessionRow(value []byte) (SessionRow, error) {
	var r SessionRow
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode session row")
}

// encode encodes a row. It panics on failure, which the row types exclude.
func encode(row any) []byte {
	value, err := msgpack.Marshal(row)
	if err != nil {
		panic("ownership: row does not encode: " + err.Error())
	}
	return value
}

// shardOfKey returns the shard of a row's key.
func shardOfKey(key string) string { return strings.TrimPrefix(key, ShardPrefix) }

// hostOfKey returns the host of a session row's key.
func hostOfKey(key string) string { return strings.TrimPrefix(key, SessionPrefix) }
