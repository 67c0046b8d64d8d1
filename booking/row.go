package booking

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/outcome"
)

// prefix is the prefix of the row keys of all claims.
const prefix = "claim/"

// state is the progress of a claim.
type state uint8

const (
	claimed state = iota
	answered
	unknown
)

// row is the value of a claim's row in the table.
type row struct {
	// Digest is the hash of the request's content.
	Digest []byte `msgpack:"d"`
	// Host and Incarnation identify the claimant.
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	// ID is the unique ID of the claim.
	ID string `msgpack:"c"`
	// AtMS is the time of the claim by the claimant's clock, in Unix
	// milliseconds. Only the sweep of expired rows uses it.
	AtMS  int64 `msgpack:"t"`
	State state `msgpack:"s"`
	// Answer is set in state answered, without its body if Object is set.
	Answer *Response `msgpack:"a,omitempty"`
	// Object is the key of the object that holds a large body; empty if the
	// body is in the row.
	Object string `msgpack:"o,omitempty"`
}

func rowKey(r Request) string { return prefix + r.Service + "/" + r.Key }

func (r row) encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	return b, errors.Wrap(err, "encode claim row")
}

func decodeRow(b []byte) (row, error) {
	var r row
	err := msgpack.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode claim row")
}

// stateOf returns the final state of a claim for the kind of its outcome.
func stateOf(k outcome.Kind) state {
	if k == outcome.Answered {
		return answered
	}
	return unknown
}
