package election

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// ErrDeposed means that another host owns the domain.
var ErrDeposed = errors.New("election: another host owns the domain")

const (
	// firstTimeout bounds the first try of a commit; a sound table service
	// answers in some 10 ms.
	firstTimeout = 700 * time.Millisecond
	// lastTimeout bounds later tries, each of which may take twice as long as
	// the one before, for a service that answers 50 times slower.
	lastTimeout = 3 * time.Second
	// retryPause is the wait after a refusal.
	retryPause = 100 * time.Millisecond
)

// Committer writes on behalf of an owner, one commit after another. It is safe
// for concurrent use.
type Committer struct {
	mu      sync.Mutex
	table   infra.Table
	record  Record
	version uint64
	// Sleep waits before a try after a refusal; tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
}

// NewCommitter returns the committer of an ownership whose row has the given
// version.
func NewCommitter(table infra.Table, record Record, version uint64) *Committer {
	return &Committer{table: table, record: record, version: version, Sleep: pause}
}

// pause waits for d or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Record returns the owner's row as last written.
func (c *Committer) Record() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

// Version returns the version of the owner's row as last written.
func (c *Committer) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// SetCores has the next commits say that the strongest host has so many
// processors.
func (c *Committer) SetCores(cores float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Cores = cores
}

// MarkHandedOver has the next commits say that the owner stops for a stronger host.
func (c *Committer) MarkHandedOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.HandedOver = true
}

// Resign writes that the owner has stopped.
func (c *Committer) Resign(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Resigned = true
	return c.commit(ctx, nil)
}

// Refresh commits the owner's row alone, unless a commit is under way or the
// owner has resigned. It reports whether it tried.
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

// Commit applies the writes together with the owner's row, and tries until
// the outcome is known: nil when applied, ErrDeposed when another host owns
// the domain, so that they never will be, or the context's error when the
// outcome is open.
func (c *Committer) Commit(ctx context.Context, writes []infra.Write) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commit(ctx, writes)
}

// commit is Commit for a caller that holds the lock.
func (c *Committer) commit(ctx context.Context, writes []infra.Write) error {
	c.record.Seq++
	value, err := c.record.Encode()
	if err != nil {
		return err
	}
	all := append([]infra.Write{{Key: OwnerKey, Value: value}}, writes...)
	timeout := firstTimeout
	for {
		tx := infra.Transaction{Conditions: []infra.Condition{{Key: OwnerKey, Version: c.version}}, Writes: all}
		try, cancel := context.WithTimeout(ctx, timeout)
		res := c.table.Commit(try, tx)
		failedAtOnce := try.Err() == nil
		cancel()
		switch res.Status {
		case infra.CommitApplied:
			c.version = res.Version
			return nil
		case infra.CommitConflict:
			applied, err := c.conflict(res.Conflicts)
			if applied || err != nil {
				return err
			}
		case infra.CommitNotApplied:
			c.Sleep(ctx, retryPause)
		case infra.CommitUnknown:
			timeout = min(2*timeout, lastTimeout)
			if failedAtOnce { // without a pause a store was called up to 1,490 times within a second
				c.Sleep(ctx, retryPause)
			}
		}
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "commit")
		}
	}
}

// conflict takes in the owner's row as it is now: this very commit, applied
// by an earlier try; the commit before, whose version wasn't known; or that
// of another owner.
func (c *Committer) conflict(rows []infra.Row) (applied bool, err error) {
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
	return false, errors.Wrap(ErrDeposed, "owner row is gone")
}
