package election

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// ErrDeposed is returned when another host owns the domain.
var ErrDeposed = errors.New("election: another host owns the domain")

const (
	// initialCommitTimeout bounds the first attempt of a commit.
	initialCommitTimeout = 700 * time.Millisecond
	// maxCommitTimeout bounds later attempts; each may take twice as long as the
	// previous one, so that commits succeed on a slow table service.
	maxCommitTimeout = 3 * time.Second
	// retryDelay is the delay after a refused or immediately failed attempt.
	retryDelay = 100 * time.Millisecond
)

// Committer commits an owner's writes one after another. It is safe for
// concurrent use.
type Committer struct {
	mu      sync.Mutex
	table   infra.Table
	record  Record
	version uint64
	// Sleep waits after a refused or immediately failed attempt; tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
}

// NewCommitter returns a Committer for the ownership record, whose row has the
// given version.
func NewCommitter(table infra.Table, record Record, version uint64) *Committer {
	return &Committer{table: table, record: record, version: version, Sleep: sleep}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Record returns the owner's row, including changes not committed yet.
func (c *Committer) Record() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

// Version returns the version of the owner's row after the last known commit.
func (c *Committer) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// SetCores sets the number of processors of the strongest host that later
// commits record.
func (c *Committer) SetCores(cores float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Cores = cores
}

// MarkHandedOver makes later commits record that the owner is handing the
// domain over to a stronger host.
func (c *Committer) MarkHandedOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.HandedOver = true
}

// Resign commits that the owner has stopped. Refresh does nothing afterwards.
func (c *Committer) Resign(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Resigned = true
	return c.commit(ctx, nil)
}

// Refresh commits the owner's row alone, unless another commit is in flight or
// the owner has resigned. It reports whether it tried.
func (c *Committer) Refresh(ctx context.Context) (bool, error) {
	if !c.mu.TryLock() {
		return false, nil
	}
	defer c.mu.Unlock()
	if c.record.Resigned {
		return false, nil
	}
	return true, c.commit(ctx, nil)
}

// Commit applies writes together with the owner's row and retries until the
// outcome is known. It returns nil if they were applied, ErrDeposed if another
// host owns the domain and they never will be, and the context's error if the
// outcome is unknown.
func (c *Committer) Commit(ctx context.Context, writes []infra.Write) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commit(ctx, writes)
}

// commit implements Commit; c.mu must be held.
func (c *Committer) commit(ctx context.Context, writes []infra.Write) error {
	c.record.Seq++
	value, err := c.record.Encode()
	if err != nil {
		return err
	}
	all := append([]infra.Write{{Key: OwnerKey, Value: value}}, writes...)
	timeout := initialCommitTimeout
	for {
		tx := infra.Transaction{Conditions: []infra.Condition{{Key: OwnerKey, Version: c.version}}, Writes: all}
		attempt, cancel := context.WithTimeout(ctx, timeout)
		res := c.table.Commit(attempt, tx)
		failedFast := attempt.Err() == nil
		cancel()
		switch res.Status {
		case infra.CommitApplied:
			c.version = res.Version
			return nil
		case infra.CommitConflict:
			applied, err := c.resolveConflict(res.Conflicts)
			if applied || err != nil {
				return err
			}
		case infra.CommitNotApplied:
			c.Sleep(ctx, retryDelay)
		case infra.CommitUnknown:
			timeout = min(2*timeout, maxCommitTimeout)
			if failedFast { // e.g. connection refused
				c.Sleep(ctx, retryDelay)
			}
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "commit")
		}
	}
}

// resolveConflict inspects the owner's row among the rows of a conflict. If an
// earlier attempt has applied this commit, it returns true. If the row holds
// this owner's previous commit, whose version was unknown, it returns false and
// the commit can be retried. In both cases it records the row's version. If the
// row belongs to another owner, it returns ErrDeposed.
func (c *Committer) resolveConflict(rows []infra.Row) (applied bool, err error) {
	for _, row := range rows {
		if row.Key != OwnerKey || row.Version == 0 {
			continue
		}
		found, err := Decode(row.Value)
		if err != nil {
			return false, err
		}
		if !found.SameOwnership(&c.record) {
			return false, errors.Wrapf(ErrDeposed, "epoch %d is owned by %s", found.Epoch, found.Host)
		}
		c.version = row.Version
		return found.Seq == c.record.Seq, nil
	}
	return false, errors.Wrap(ErrDeposed, "owner row not found")
}
