package election

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// OwnerKey is the key of the owner's row.
const OwnerKey = "owner"

// Record is the owner's row.
type Record struct {
	// Host is the owner's name, Address its address for peers.
	Host    string `msgpack:"h"`
	Address string `msgpack:"a"`
	// Incarnation names the life of the owner's process.
	Incarnation string `msgpack:"i"`
	// Epoch rises with each owner.
	Epoch uint64 `msgpack:"e"`
	// Seq counts the owner's commits.
	Seq uint64 `msgpack:"s"`
	// Cores are the processors of the strongest host that can own the domain,
	// as far as the owner knows; hosts with fewer leave it to others for a
	// while.
	Cores float64 `msgpack:"c,omitempty"`
	// HandedOver is set by an owner that stops for a stronger host.
	HandedOver bool `msgpack:"o,omitempty"`
	// Resigned is set by an owner that has stopped.
	Resigned bool `msgpack:"r,omitempty"`
}

// SameOwnership reports whether both name the same ownership.
func (r *Record) SameOwnership(o *Record) bool {
	return r.Epoch == o.Epoch && r.Incarnation == o.Incarnation
}

// Encode returns the row's value.
func (r *Record) Encode() ([]byte, error) {
	value, err := msgpack.Marshal(r)
	return value, errors.Wrap(err, "encode owner row")
}

// Decode reads a row's value.
func Decode(value []byte) (Record, error) {
	var r Record
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decode owner row")
}
