package election

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// Read returns the owner's row and its version, or version 0 if there is no
// row.
func Read(ctx context.Context, table infra.Table) (Record, uint64, error) {
	rows, err := table.Get(ctx, OwnerKey)
	if err != nil {
		return Record{}, 0, errors.Wrap(err, "read owner row")
	}
	if len(rows) == 0 || rows[0].Version == 0 {
		return Record{}, 0, nil
	}
	r, err := Decode(rows[0].Value)
	return r, rows[0].Version, err
}

// Successor returns the owner's row by which self replaces the owner of the row
// previous. It keeps the larger reference for takeovers, so that the row of a weak
// owner doesn't let other weak hosts follow it without a delay.
func Successor(previous *Record, self Record) Record {
	self.Epoch, self.Seq, self.Resigned = previous.Epoch+1, 0, false
	self.ListsEarlier, self.RosterEpochs = true, false
	self.Cores = max(self.Cores, previous.Cores)
	self.Earlier = earlierOwners(previous, &self)
	return self
}

// Acquire commits an owner's row for self in the epoch after that of previous,
// and returns the Committer of the new owner, which also tells the effort of a failed
// attempt. previous and version are the results of Read; if the row has changed since,
// Acquire returns ErrDeposed.
func Acquire(ctx context.Context, table infra.Table, self, previous Record, version uint64) (*Committer, error) {
	c := NewCommitter(table, Successor(&previous, self), version)
	return c, c.Commit(ctx, nil)
}
