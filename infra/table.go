package infra

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the table-wide number of the commit that wrote the row; it
	// only increases. Zero means that the row does not exist.
	Version uint64 `json:"version"`
}

// Condition requires a row to have exactly this version; zero requires it to be
// absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all its writes, or none if a condition fails.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitStatus is the result of a transaction.
type CommitStatus uint8

// The statuses of a commit. The zero value is CommitUnknown.
const (
	// CommitUnknown: no answer was received; the writes may have taken effect.
	CommitUnknown CommitStatus = iota
	// CommitApplied: all writes took effect.
	CommitApplied
	// CommitConflict: a condition failed; nothing was written.
	CommitConflict
	// CommitNotApplied: the service refused the transaction; nothing was
	// written. The same transaction may be applied later.
	CommitNotApplied
	// CommitRejected: the service will never apply the transaction, for example since a
	// value is too large; nothing was written.
	CommitRejected
)

// CommitResult is the table's answer to a transaction.
type CommitResult struct {
	Status CommitStatus `json:"status"`
	// Version is the version of every written row if Status is CommitApplied.
	Version uint64 `json:"version,omitempty"`
	// Conflicts lists the current rows whose conditions failed.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Clock is the reading of the service's steady clock, which all hosts share, when it
	// answered; 0 if it tells none.
	Clock time.Duration `json:"-"`
	// Reason is what the service said of a transaction whose Status is CommitRejected.
	Reason string `json:"reason,omitempty"`
}

// Table is the platform's transactional table service. Implementations are safe
// for concurrent use and honour the context's deadline.
type Table interface {
	// Commit applies a transaction. Failures are reported in the result's
	// Status.
	Commit(ctx context.Context, tx Transaction) CommitResult
	// Get reads the rows of the keys, in their order, at one version of the
	// table. Absent rows have Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows in key order whose keys have the prefix and
	// sort after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
