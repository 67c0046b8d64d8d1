package booking

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// prefix begins the key of every claim's row.
const prefix = "claim/"

// state says how far a claim is.
type state uint8

const (
	claimed state = iota
	answered
	unknown
)

// row is the value of a claim's row in the table.
type row struct {
	// Digest is the hash of the request.
	Digest []byte `msgpack:"d"`
	// Host and Incarnation name the claimant.
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	// ID is unique to the claim.
	ID string `msgpack:"c"`
	// AtMS is when it was claimed, in Unix milliseconds of the claimant's
	// clock; only the sweep of old rows reads it.
	AtMS  int64 `msgpack:"t"`
	State state `msgpack:"s"`
	// Answer is set once answered, without its body when Object is set.
	Answer *Response `msgpack:"a,omitempty"`
	// Object is the key of the object that holds a large body.
	Object string `msgpack:"o,omitempty"`
}

func rowKey(r Request) string { return prefix + r.Service + "/" + r.Key }

func (r row) encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	return b, errors.Wrap(err, "encode claim")
}

func decodeRow(b []byte) (row, error) {
	var r row
	err := msgpack.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode claim")
}

// stateOf returns the state that keeps a request's outcome.
func stateOf(k outcome.Kind) state {
	if k == outcome.Answered {
		return answered
	}
	return unknown
}
