package ownership

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The prefixes of the table's keys.
const (
	SessionPrefix = "session/"
	ShardPrefix   = "shard/"
)

// SessionKey is the key of an entry host's session row.
func SessionKey(host string) string { return SessionPrefix + host }

// ShardKey is the key of a shard's row.
func ShardKey(shard string) string { return ShardPrefix + shard }

// SessionRow is the value of session/<host>.
type SessionRow struct {
	// Incarnation is the process that renews the session.
	Incarnation string `msgpack:"i"`
	// Counter rises with each renewal.
	Counter uint64 `msgpack:"c"`
	// Stopping is set once the process hands its shards over, so that it is
	// given none.
	Stopping bool `msgpack:"t"`
	Bounds   `msgpack:",inline"`
}

// Bounds are the times of a process that others count on. Hosts with other
// settings go by the larger of these and their own.
type Bounds struct {
	// Session is how long its session and promises to it last.
	Session time.Duration `msgpack:"l,omitempty"`
	// MaxRun is the longest that an endpoint works on a request of its.
	MaxRun time.Duration `msgpack:"m,omitempty"`
}

// Holder names one process of one entry host.
type Holder struct {
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	// Revision is that of a membership list on which the host stood; only a
	// newer list can drop it.
	Revision uint64 `msgpack:"r"`
	Bounds   `msgpack:",inline"`
}

// is reports whether both name the same process.
func (h Holder) is(o Holder) bool {
	return h.Host == o.Host && h.Incarnation == o.Incarnation
}

// process returns the holder without all else, for use as a key.
func (h Holder) process() Holder {
	return Holder{Host: h.Host, Incarnation: h.Incarnation}
}

// ShardRow is the value of shard/<shard>.
type ShardRow struct {
	// Owner is who owns the shard; its Host is empty when it was released to
	// nobody.
	Owner Holder `msgpack:"o"`
	// Epoch rises by one with each change of owner.
	Epoch uint64 `msgpack:"e"`
	// Seized is set when the owner took the shard from one that may still
	// have requests in flight, rather than being given it.
	Seized bool `msgpack:"z"`
	// MaxRun is the longest that these requests may run.
	MaxRun time.Duration `msgpack:"m,omitempty"`
	// Unconfirmed is the previous owner while it is not known to have
	// stopped; nil otherwise.
	Unconfirmed *Holder `msgpack:"u"`
	// Successors may take the shard over without the membership
	// list's word, in this order.
	Successors []string `msgpack:"s"`
}

// DecodeShardRow reads the value of a shard's row.
func DecodeShardRow(value []byte) (ShardRow, error) {
	var r ShardRow
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode shard row")
}

// DecodeSessionRow reads the value of a session's row.
func DecodeSessionRow(value []byte) (SessionRow, error) {
	var r SessionRow
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode session row")
}

// encode writes a row; its types always encode.
func encode(row any) []byte {
	value, err := msgpack.Marshal(row)
	if err != nil {
		panic("ownership: row does not encode: " + err.Error())
	}
	return value
}

// shardOfKey returns the shard whose row has the key.
func shardOfKey(key string) string { return strings.TrimPrefix(key, ShardPrefix) }

// hostOfKey returns the host whose session row has the key.
func hostOfKey(key string) string { return strings.TrimPrefix(key, SessionPrefix) }
