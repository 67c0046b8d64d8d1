package configstore

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/infra"
)

// confirmedKey is the key of the row that tells which version most hosts have held.
const confirmedKey = "config/confirmed"

// Confirmed is the newest version that the store was told most hosts have held at once.
type Confirmed struct {
	// Version is 0 before the first.
	Version uint64 `msgpack:"v"`
	// row is the version of the row that was read.
	row uint64
}

// Newest reads the newest version, and the newest one that most hosts have held.
func (s *Store) Newest(ctx context.Context) (Head, Confirmed, error) {
	rows, err := s.Table.Get(ctx, headKey, confirmedKey)
	if err != nil {
		return Head{}, Confirmed{}, err
	}
	head, err := decodeHead(rows[0])
	if err != nil {
		return Head{}, Confirmed{}, err
	}
	confirmed, err := decodeConfirmed(rows[1])
	return head, confirmed, err
}

// Confirm records that most hosts have held a version, if the record is still as it was
// read. A result other than applied needs no other try: the record is read again.
func (s *Store) Confirm(ctx context.Context, version uint64, read Confirmed) infra.CommitStatus {
	value, err := msgpack.Marshal(Confirmed{Version: version})
	if err != nil {
		panic("configstore: encode a number: " + err.Error())
	}
	return s.Table.Commit(ctx, infra.Transaction{
		Conditions: []infra.Condition{{Key: confirmedKey, Version: read.row}},
		Writes:     []infra.Write{{Key: confirmedKey, Value: value}},
	}).Status
}

// decodeConfirmed decodes a row; an absent row is version 0.
func decodeConfirmed(row infra.Row) (Confirmed, error) {
	c := Confirmed{row: row.Version}
	if row.Version == 0 {
		return c, nil
	}
	err := msgpack.Unmarshal(row.Value, &c)
	return c, errors.Wrap(err, "decode confirmed configuration")
}
