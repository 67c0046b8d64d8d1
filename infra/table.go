package infra

import "context"

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the table-wide number of the commit that wrote the row; it
	// only rises. Zero means that the row does not exist.
	Version uint64 `json:"version"`
}

// Condition requires a row to have just this version; zero requires it to be
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

// Transaction applies all its writes, or none if a condition does not hold.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitStatus says what became of a transaction.
type CommitStatus uint8

// The results of a commit. The zero value is CommitUnknown.
const (
	// CommitUnknown: the answer was lost; the writes may have taken effect.
	CommitUnknown CommitStatus = iota
	// CommitApplied: all writes took effect.
	CommitApplied
	// CommitConflict: a condition did not hold; nothing was written.
	CommitConflict
	// CommitNotApplied: the service refused; nothing was written.
	CommitNotApplied
)

// CommitResult is the answer to a transaction.
type CommitResult struct {
	Status CommitStatus `json:"status"`
	// Version is the version of every row written, when applied.
	Version uint64 `json:"version,omitempty"`
	// Conflicts lists the rows, as they are now, whose conditions failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Table is the platform's transactional table service. Implementations are
// safe for concurrent use and honour the context's deadline.
type Table interface {
	// Commit applies a transaction. Failures are values in the result.
	Commit(ctx context.Context, tx Transaction) CommitResult
	// Get reads rows at one version; absent rows come back with Version 0,
	// in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows whose key has the prefix and sorts after
	// the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
