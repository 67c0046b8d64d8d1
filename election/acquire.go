package election

import (
	"context"
	"time"

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
// previous, which is known to have been unchanged for some time. It keeps the number of hosts,
// and the larger reference for takeovers, so that the row of a weak owner doesn't let other weak
// hosts follow it without a delay.
func Successor(previous *Record, self Record, unchanged time.Duration) Record {
	self.Epoch, self.Seq, self.Resigned = previous.Epoch+1, 0, false
	self.ListsEarlier, self.NeedsMajority, self.LimitsLeases, self.RosterEpochs = true, true, true, false
	self.Limits, self.RosterOf = &ownLimits, previous.RosterOf
	if previous.Epoch == 0 {
		self.RosterOf = self.Epoch
	}
	self.Cores, self.Hosts = max(self.Cores, previous.Cores), previous.Hosts
	age := time.Duration(float64(unchanged) * (1 - maxClockDrift))
	self.Earlier, self.Unleased = earlierOwners(previous, &self, age), unleasedAfter(previous.Unleased, age)
	return self
}

// Replaced is the owner's row that another one replaces. Record and Version are the results of
// Read, which took ReadTime.
type Replaced struct {
	Record  Record
	Version uint64
	// Unchanged is how long the row is known to have been unchanged.
	Unchanged, ReadTime time.Duration
}

// Acquire commits an owner's row for self in the epoch after that of the replaced one,
// and returns the Committer of the new owner, which also tells the effort of a failed
// attempt. now returns this host's clock, see Committer.Now. If the replaced row has changed since
// it was read, Acquire returns ErrDeposed. It
// returns ErrSilent if the table service stops answering. After any other error than ErrDeposed the row may still be
// written, and the host resumes the ownership when it finds itself in it (Resume).
func Acquire(ctx context.Context, table infra.Table, self Record, r Replaced, now func() time.Duration) (*Committer, error) {
	c := NewCommitter(table, Successor(&r.Record, self, r.Unchanged), r.Version)
	c.Now = now
	c.lastDuration = commitReads * r.ReadTime
	c.maxSilence = acquireSilence + slowAnswerFactor*r.ReadTime
	err := c.Commit(ctx, nil)
	c.maxSilence = 0
	return c, err
}

const (
	// slowAnswerFactor is the multiple of a read's duration that is added to the time for
	// which a table service may answer nothing.
	slowAnswerFactor = 3
	// commitReads is how many times as long as a read a commit takes, or a little more.
	commitReads = 2
	// acquireSilence is the time without any answer after which a host gives its attempt
	// up, so that another host may try.
	acquireSilence = 1500 * time.Millisecond
	// MaxAcquireTime bounds an attempt to acquire the domain on a table service that
	// answers. It is the time for which a host may hold the advisory lock.
	MaxAcquireTime = maxLockHold
)

// Resume returns the Committer of an owner whose attempt to acquire the domain was
// given up and has taken effect later, as its row, read at a version, tells.
func Resume(table infra.Table, row Record, version uint64, now func() time.Duration) *Committer {
	c := NewCommitter(table, row, version)
	c.Now = now
	return c
}
